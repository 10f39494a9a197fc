Feature: A store that answers calls for only some of the rows

  Background:
    Given a job cell of 3 nodes and 4 workers

  Scenario: Nodes that start while leases can't be read claim once they can be
    Given the store doesn't answer for the rows of the pool
    When every node is restarted
    And 3 seconds go by
    And the store answers for all rows
    And 4 seconds go by
    Then some node owns the pool
    When a job of the steps "2" is submitted
    And 3 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: A pool whose lease can't be read delays no other pool
    Given a second pool "stage"
    And the store doesn't answer for the rows of the pool
    When every node is restarted
    And 1 second goes by
    Then some node owns the pool "stage"

  Scenario: A lease that can't be read delays no other pool after history was lost
    Given a second pool "stage"
    And the store doesn't answer for the rows of the pool
    When every node is restarted
    And 2 seconds go by
    Then some node owns the pool "stage"
    When the owner of "stage" is killed
    And every node loses the history of the store
    And 4 seconds go by
    Then some node owns the pool "stage"

  Scenario: Nodes that start while the empty part is unanswered claim without delay
    Given the store doesn't answer for the claims of the empty part
    When every node is restarted
    And 1 second goes by
    Then some node owns the pool

  Scenario: A claim succeeds although the node has missed a change of the lease
    When the owner is killed
    And every node has missed the last change of the lease
    And 8 seconds go by
    Then some node owns the pool

  Scenario: A node that has read no lease never reports that no job waits
    Given the store doesn't answer for the rows of the pool
    When every node is restarted
    And 3 seconds go by
    Then the first node can't report how many jobs wait

  Scenario: A count that a dead owner has left is not reported as the current one
    Given the store doesn't answer for the rows of the pool
    When the owner is killed
    And 4 seconds go by
    Then the first node can't report how many jobs wait

  Scenario: A new owner that is still recovering doesn't renew the former owner's count
    When the owner is killed
    And the store doesn't answer for the rows of jobs
    And 6 seconds go by
    Then some node owns the pool
    And the first node can't report how many jobs wait

  Scenario: A node that the store refuses asks the owner how many jobs wait
    Given the store refuses the calls of the last node
    When a job of the steps "2" waits for permits
    And 4 seconds go by
    Then the last node reports that 1 job waits

  Scenario: A job whose row can't be removed does not run again
    When a job of the steps "2" is submitted
    And 3 seconds go by
    And the store doesn't answer for the rows of jobs
    And 140 seconds go by
    And the owner is killed
    And the store answers for all rows
    And 8 seconds go by
    Then each of its tasks was started 1 time at most

  Scenario: A job is not refused because a new owner has not seen the worker it needs
    Given a larger worker whose entry was removed
    Then a job that needs the larger worker is kept
    When the owner is killed
    And 4 seconds go by
    Then some node owns the pool
    And a job that needs the larger worker is kept

  Scenario: Runs are not given up before the list of workers is read
    Given the list of workers can't be read
    When a job of the steps "4" of 5 seconds is submitted
    And 0.5 seconds go by
    And the owner is killed
    And 12 seconds go by
    Then its runs are not given up
    When the list of workers can be read
    And 3 seconds go by
    Then the job is shown as "completed" by every node
    And each of its tasks was started 1 time at most

  Scenario: A pool of many different workers refuses no job that one could run
    Given 70 different workers, the last one larger
    Then a job that needs the larger worker is kept

  Scenario: A node that shuts down hands a pool over although another is unanswered
    Given a second pool "stage"
    And one node owns both pools
    And the store doesn't answer for the rows of the pool
    When the owner shuts down
    And 0.5 seconds go by
    Then another node owns the pool "stage"

  Scenario: A job is admitted after lost history although others are unanswered
    Given the store doesn't answer for the rows of jobs of the first part
    When every node loses the history of the store
    And a node stores a job and dies
    And 4 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: A job whose starts are refused still counts as waiting
    Given every worker refuses the first job
    When a job of the steps "2" is submitted
    And 3 seconds go by
    Then the last node reports that 1 job waits
    When the owner is killed
    And 5 seconds go by
    Then the last node reports that 1 job waits

  Scenario: Runs survive a recovery that waits for the rows of jobs
    When a job of the steps "4" of 12 seconds is submitted
    And 1 second goes by
    And the owner is killed
    And the store doesn't answer for the rows of jobs
    And 9 seconds go by
    And the store answers for all rows
    And 20 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean
    And each of its tasks was started 1 time at most

  Scenario Outline: Runs whose lease is extended during a recovery never run twice at once
    When a job of the steps "4" of 14 seconds is submitted
    And 1 second goes by
    And the owner is killed
    And the store doesn't answer for the rows of jobs
    And 8 seconds go by
    And <trouble>
    And 1 second goes by
    And the store answers for all rows
    And 40 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

    Examples:
      | trouble                                               |
      | every worker but one becomes unreachable              |
      | every worker but one becomes unreachable and unlisted |
