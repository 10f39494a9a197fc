Feature: A job cell runs jobs correctly despite failures

  Background:
    Given a job cell of 3 nodes and 4 workers

  Scenario: Steps run in the order of their dependencies until the job completes
    When a job of the steps "4, 3 after 0, 2 after 1" is submitted
    And 6 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: The tasks of a gang start together and complete together
    When a gang of 3 tasks is submitted
    And 4 seconds go by
    Then the job is shown as "completed" by every node
    And all its tasks were started within 0.5 seconds

  Scenario: A gang that lost a member continues from one common checkpoint
    When a checkpointing gang of 3 tasks of 4 seconds is submitted
    And 2.2 seconds go by
    And the first worker that runs a task restarts
    And 8 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: A job with a task that always fails ends as failed
    When a job whose tasks fail 9 times is submitted
    And 8 seconds go by
    Then the job is shown as "failed" by every node
    And each of its tasks was started 3 times at most

  Scenario: A cancelled job stops its tasks and starts no more
    When a job of long-running tasks is submitted
    And 2 seconds go by
    And the job is cancelled
    And 3 seconds go by
    Then the job is shown as "cancelled" by every node
    And no worker runs a task

  Scenario: A long-running task is restarted when its worker restarts
    When a job of long-running tasks is submitted
    And 2 seconds go by
    And every worker restarts
    And 3 seconds go by
    Then all of its tasks run
    And the workers' record is clean

  Scenario: A new owner adopts running tasks and starts none of them twice
    When a job of the steps "6, 6 after 0" is submitted
    And 0.5 seconds go by
    And the owner is killed
    And 8 seconds go by
    Then the job is shown as "completed" by every node
    And each of its tasks was started 1 time at most
    And the workers' record is clean

  Scenario: A start that is carried out late never runs alongside another run
    Given 2 starts are carried out late by every worker
    When a job of the steps "6" is submitted
    And 0.5 seconds go by
    And the owner is killed
    And 20 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: A task whose start could not be sent doesn't wait for a lease to end
    When every worker but one refuses connections
    And a job of the steps "6" is submitted
    And 3 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: The tasks of a crashed worker start again once its instance has restarted
    When a job of the steps "6" of 2 seconds is submitted
    And 0.5 seconds go by
    And the first worker that runs a task crashes
    And 1 second goes by
    And its instance runs another worker
    And 4 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: A new owner starts the tasks of a crashed worker once its instance has restarted
    When a job of the steps "6" of 2 seconds is submitted
    And 0.5 seconds go by
    And the first worker that runs a task crashes
    And its entry is removed
    And the owner is killed
    And 3 seconds go by
    And its instance runs another worker
    And 4 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: No start exceeds a worker's capacity after it has shrunk
    When 40 jobs of 8 tasks are queued
    And 1 second goes by
    And every worker shrinks to 3 cores
    And 12 seconds go by
    Then the workers' record is clean
    And at most 3 tasks run on each worker
    When every worker grows to 16 cores
    And 12 seconds go by
    Then all queued jobs are shown as "completed"
    And the workers' record is clean

  Scenario: Tasks of an unreachable worker wait until its lease ends
    When a job of the steps "4" of 5 seconds is submitted
    And 1 second goes by
    And every worker but one becomes unreachable
    And 30 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: An end is acknowledged only after it has been stored
    When a job of the steps "6" is submitted
    And the store goes down in 0.9 seconds
    And 3 seconds go by
    And the owner is killed
    And the store is back
    And 8 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: The store's replies are lost
    Given the next 5 replies of the store are lost
    When a job of the steps "4, 3 after 0" is submitted
    And 20 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: The store carries out writes seconds late
    Given the next 4 writes are carried out late
    When a job of the steps "4, 3 after 0" is submitted
    And 25 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: The store drops its history
    When a job of long-running tasks is submitted
    And 1 second goes by
    And the store's history is dropped
    And a job of the steps "4" is submitted
    And 5 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: A node that the store refuses has a peer store the job
    Given the store refuses the calls of the last node
    When a job of the steps "2" is submitted through the last node
    And 4 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: An owner that the store refuses is replaced
    When a job of the steps "4, 4 after 0" is submitted
    And 0.5 seconds go by
    And the store refuses the calls of the owner
    And 10 seconds go by
    Then another node owns the pool
    And the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: A draining worker gets no new tasks and its long-running tasks move
    When a job of long-running tasks is submitted
    And 2 seconds go by
    And every worker but one drains
    And 3 seconds go by
    Then all of its tasks run on the worker that does not drain
    And the workers' record is clean

  Scenario: A change feed that is seconds late delays no job
    Given the store's feeds are 4 seconds late
    When a job of the steps "4, 2 after 0" is submitted through the last node
    And 3 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: A node whose calls the store resets has a peer store the job
    Given the store resets the calls of the last node
    When a job of the steps "2" is submitted through the last node
    And 4 seconds go by
    Then the job is shown as "completed" by every node

  Scenario Outline: An owner that loses the store transfers its slice to a peer at once
    When a job of the steps "4, 4 after 0" is submitted
    And 0.5 seconds go by
    And the store <does> the calls of the owner
    And 1.2 seconds go by
    Then another node owns the pool
    When 6 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

    Examples:
      | does    |
      | resets  |
      | refuses |

  Scenario: A node that shuts down hands its slice over at once
    When a job of the steps "4, 4 after 0" is submitted
    And 0.5 seconds go by
    And the owner shuts down
    And 0.3 seconds go by
    Then another node owns the pool
    When 5 seconds go by
    Then the job is shown as "completed" by every node
    And each of its tasks was started 1 time at most

  Scenario: A node that reads its own claim before the reply claims only once
    Given the store's replies to writes are 0.4 seconds late
    When the owner shuts down
    And 3 seconds go by
    Then another node owns the pool
    And the slice was claimed 1 time

  Scenario: A node that has read no configuration takes over no slice
    Given the other nodes have read no configuration
    When the owner shuts down
    And 0.5 seconds go by
    Then no other node owns the pool

  Scenario: A released lease is not renewed
    Given the store refuses the calls of all nodes but the owner
    When the owner shuts down
    And 2 seconds go by
    Then its lease was written 1 time at most while it shut down
    When the store accepts the calls of all nodes
    And 1.5 seconds go by
    Then another node owns the pool

  Scenario: A node that the store has cut off refuses already the first job at once
    When the store resets the calls of all nodes
    And 2 seconds go by
    Then each node refuses a job within 1 second

  Scenario: Callers get accurate answers once the store is known to be down
    When the store goes down
    Then a job that is submitted now is unknown
    And a job that is submitted now is refused
    When the store is back
    And 5 seconds go by
    Then the last job is unknown
    And a job that is submitted now is kept
