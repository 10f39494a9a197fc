Feature: A worker that can't be called costs no other worker

  Scenario: An unexpected error of the calls to one worker doesn't end the owner
    Given a job cell of 3 nodes and 4 workers
    And an entry of a worker whose calls end with an unexpected error
    When a job of the steps "8, 8 after 0" of 2 seconds is submitted
    And 9 seconds go by
    Then the job is shown as "completed" by every node
    And the pool has kept its owner

  Scenario: A worker whose calls begin to end with an unexpected error loses its runs only
    Given a job cell of 3 nodes and 4 workers
    When a job of the steps "8" of 4 seconds is submitted
    And 1 second goes by
    And the calls to the first worker begin to end with an unexpected error
    And 25 seconds go by
    Then the job is shown as "completed" by every node
    And the pool has kept its owner
    And the workers' record is clean

  Scenario: A new owner that still reads its jobs survives an unexpected error
    Given a job cell of 3 nodes and 4 workers
    And an entry of a worker whose calls end with an unexpected error
    When the store doesn't answer for the rows of jobs
    And the owner is killed
    And 6 seconds go by
    And the store answers for all rows
    And 2 seconds go by
    And a job of the steps "8" of 1 seconds is submitted
    And 4 seconds go by
    Then the job is shown as "completed" by every node
