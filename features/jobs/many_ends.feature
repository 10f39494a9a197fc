Feature: A worker with more ends than it lists at a time runs no task twice

  Scenario: Runs whose ends are beyond the first 500 of a list aren't taken for lost
    Given a job cell of 3 nodes and 1 workers
    And the queue needs no permits
    When 15 jobs of 40 small tasks of 8 seconds are submitted
    And the owner is killed just before the first of them end
    And 4 seconds go by
    Then more than 500 ends were waiting on the worker
    When 15 seconds go by
    Then all of these jobs are shown as "completed"
    And each of their tasks was started once
    And the workers' record is clean
