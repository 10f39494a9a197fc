Feature: A job cell keeps its promises

  Background:
    Given a job cell of 3 nodes and 4 workers

  Scenario: Steps run one after the other to their end
    When a job of the steps "4, 3 after 0, 2 after 1" is submitted
    And 6 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: A gang starts together and ends as one
    When a gang of 3 tasks is submitted
    And 4 seconds go by
    Then the job is shown as "completed" by every node
    And all its starts came within 0.5 seconds

  Scenario: A gang that broke goes on from one checkpoint
    When a gang of 3 tasks of 4 seconds saves its progress
    And 2.2 seconds go by
    And the first worker that runs a task begins a new life
    And 8 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: A task that always fails ends its job as failed
    When a job whose tasks fail 9 times is submitted
    And 8 seconds go by
    Then the job is shown as "failed" by every node
    And each of its tasks was started 3 times at most

  Scenario: A cancelled job stops and starts nothing more
    When a job of lasting tasks is submitted
    And 2 seconds go by
    And the job is cancelled
    And 3 seconds go by
    Then the job is shown as "cancelled" by every node
    And no worker runs anything

  Scenario: A lasting task is restarted when its worker begins a new life
    When a job of lasting tasks is submitted
    And 2 seconds go by
    And every worker begins a new life
    And 3 seconds go by
    Then all of its tasks run
    And the workers' record is clean

  Scenario: A successor adopts what runs and starts nothing twice
    When a job of the steps "6, 6 after 0" is submitted
    And 0.5 seconds go by
    And the owner is killed
    And 8 seconds go by
    Then the job is shown as "completed" by every node
    And each of its tasks was started 1 time at most
    And the workers' record is clean

  Scenario: A start that is carried out late never runs beside another
    Given 2 starts are carried out late by every worker
    When a job of the steps "6" is submitted
    And 0.5 seconds go by
    And the owner is killed
    And 20 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: A silent worker's tasks wait for its lease to end
    When a job of the steps "4" of 5 seconds is submitted
    And 1 second goes by
    And every worker but one falls silent
    And 30 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: An end is acknowledged only once it is kept
    When a job of the steps "6" is submitted
    And the store goes down in 0.9 seconds
    And 3 seconds go by
    And the owner is killed
    And the store is back
    And 8 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: Replies of the store are lost
    Given the next 5 replies of the store are lost
    When a job of the steps "4, 3 after 0" is submitted
    And 20 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: Writes are carried out seconds late
    Given the next 4 writes are carried out late
    When a job of the steps "4, 3 after 0" is submitted
    And 25 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: History of the store is dropped
    When a job of lasting tasks is submitted
    And 1 second goes by
    And the store's history is dropped
    And a job of the steps "4" is submitted
    And 5 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: A node that the store turns away has a peer keep the job
    Given the store turns the last node away
    When a job of the steps "2" is submitted through the last node
    And 4 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: An owner that the store turns away is succeeded
    When a job of the steps "4, 4 after 0" is submitted
    And 0.5 seconds go by
    And the store turns the owner away
    And 10 seconds go by
    Then another node owns the pool
    And the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: A draining worker gets nothing new and lasting tasks move
    When a job of lasting tasks is submitted
    And 2 seconds go by
    And every worker but one drains
    And 3 seconds go by
    Then all of its tasks run on the worker that stays
    And the workers' record is clean

  Scenario: A feed that is seconds late delays no job
    Given the store's feeds are 4 seconds late
    When a job of the steps "4, 2 after 0" is submitted through the last node
    And 3 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: A node whose calls the store resets has a peer keep the job
    Given the store resets the last node
    When a job of the steps "2" is submitted through the last node
    And 4 seconds go by
    Then the job is shown as "completed" by every node

  Scenario Outline: An owner that loses the store yields to a peer at once
    When a job of the steps "4, 4 after 0" is submitted
    And 0.5 seconds go by
    And the store <does> the owner
    And 1.2 seconds go by
    Then another node owns the pool
    When 6 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

    Examples:
      | does       |
      | resets     |
      | turns away |

  Scenario: A node that leaves hands its slice over at once
    When a job of the steps "4, 4 after 0" is submitted
    And 0.5 seconds go by
    And the owner leaves
    And 0.3 seconds go by
    Then another node owns the pool
    When 5 seconds go by
    Then the job is shown as "completed" by every node
    And each of its tasks was started 1 time at most

  Scenario: A node that sees its own claim before the reply claims once
    Given the store's replies to writes are 0.4 seconds late
    When the owner leaves
    And 3 seconds go by
    Then another node owns the pool
    And the slice was claimed 1 time

  Scenario: A node that has read no configuration yet takes no slice over
    Given the other nodes have read no configuration
    When the owner leaves
    And 0.5 seconds go by
    Then no other node owns the pool

  Scenario: A lease that was released is not renewed any more
    Given the store turns all nodes away but the owner
    When the owner leaves
    And 2 seconds go by
    Then its lease was written 1 time at most while it left
    When the store serves all nodes
    And 1.5 seconds go by
    Then another node owns the pool

  Scenario: Once a store is known to be down, callers are told so truthfully
    When the store goes down
    Then a job that is submitted now is unknown
    And a job that is submitted now is refused
    When the store is back
    And 5 seconds go by
    Then nothing of the last job is known
    And a job that is submitted now is kept
