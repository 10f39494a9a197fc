Feature: A worker that has failed for some seconds is used again in time

  Scenario: A gang that needs two tasks on a worker that has failed starts again
    Given a job cell of 3 nodes and 4 workers
    And the first worker fails all that it starts
    When a gang of 8 tasks with 2 on each worker is submitted
    And 2 seconds go by
    And the first worker works again
    And 16 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: The last attempt of a gang isn't spent on a worker that still fails
    Given a job cell of 3 nodes and 4 workers
    And the first worker fails all that it starts
    When a gang of 8 tasks with 2 on each worker is submitted
    And 5 seconds go by
    And the first worker works again
    And 10 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: A lasting task on a worker that has failed doesn't withhold its capacity
    Given a job cell of 3 nodes and 4 workers
    And the first worker fails all that it starts
    When a job of 4 long-running tasks with 1 on each worker is submitted
    And 5 seconds go by
    And the first worker works again
    And 10 seconds go by
    And a job that only the first worker may run is submitted
    And 8 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: A probe that shows neither progress nor a fault ends after 6 seconds
    Given a worker that is probed by a run since its quarantine ended
    Then it has no free capacity for another run after 5.9 seconds
    And it has free capacity for another run after 6 seconds
