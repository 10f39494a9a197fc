Feature: Scheduling decisions under the loads that they are made for

  Scenario: Batch work leaves headroom for a burst of lookups
    Given a pool of 4 workers with urgent and batch queues
    When a batch job of 200 tasks of 5 seconds is submitted
    And 2 seconds go by
    And an urgent job of 8 tasks is submitted
    And 0.3 seconds go by
    Then all tasks of the last job have started
    And the workers' record is clean

  Scenario: A gang gets its capacity although small tasks keep arriving
    Given a pool of 4 workers with urgent and batch queues
    When batch jobs of 150 tasks of 0.7 to 1.9 seconds are submitted
    And 3 seconds go by
    And a gang of 3 tasks of a whole worker is submitted
    And 6 seconds go by
    Then all tasks of the last job have started
    And the workers' record is clean

  Scenario: A gang that got too few permits requests permits on other workers
    Given a pool of 40 workers with urgent and batch queues
    And the next job may run on 2 of the first 30 workers and on 3 others
    When a gang of 5 tasks of a whole worker each is submitted
    And 4 seconds go by
    Then all tasks of the last job have started
    And the permit service was called 4 times at most

  Scenario: A worker that fails every run gets few starts
    Given a pool of 4 workers with urgent and batch queues
    And the first worker fails every run
    When 6 urgent jobs of 4 tasks are submitted
    And 8 seconds go by
    Then all jobs are shown as "completed"
    And the first worker was given 12 starts at most

  Scenario: A job whose tasks always fail ends at once and quarantines no worker
    Given a pool of 4 workers with urgent and batch queues
    When an urgent job whose tasks always fail is submitted
    And 3 seconds go by
    Then the job is shown as "failed" by every node
    And no worker is quarantined

  Scenario: The first permit call names all workers and renewals only a few
    Given a pool of 4 workers with urgent and batch queues
    When a batch job of 100 tasks of 3 seconds is submitted
    And 8 seconds go by
    Then the permit service was called 8 times at most

  Scenario Outline: The pace of best-effort tasks goes from <pace> to <next> at a response time tail of <tail> of 100 ms
    Then the next pace after <pace> with a tail of <tail> ms and a target of 100 ms is <next>

    Examples:
      | pace | tail | next |
      | 100  | 20   | 100  |
      | 50   | 20   | 60   |
      | 50   | 70   | 50   |
      | 100  | 95   | 40   |
      | 10   | 120  | 0    |

  Scenario: The job that must start soonest is next, whatever its queue
    Then a batch job that must start in 1 second goes before one with 9
    And an urgent job goes before both
    And a job that can no longer end in time goes last

  Scenario: A job that no worker may run keeps no capacity from others
    Given a pool of 4 workers with urgent and batch queues
    When 4 gangs that no worker may run are submitted
    And a gang of 3 tasks of a whole worker is submitted
    And 3 seconds go by
    Then all tasks of the last job have started

  Scenario: A worker that became slow gets few tasks, and lookups end in time
    Given a pool of 4 workers with urgent and batch queues
    And the first worker now runs tasks 6 times slower
    When 8 urgent jobs of 4 tasks are submitted, one each 0.4 seconds
    And 3 seconds go by
    Then all jobs are shown as "completed"
    And the first worker was given 8 starts at most

  Scenario: A worker that is fast again gets tasks again
    Given a pool of 4 workers with urgent and batch queues
    And the first worker now runs tasks 6 times slower
    When 8 urgent jobs of 4 tasks are submitted, one each 0.4 seconds
    And the first worker runs tasks at full speed again
    And 12 seconds go by
    And 20 urgent jobs of 3 tasks are submitted, one each 0.3 seconds
    Then the first worker was given 10 starts at least

  Scenario: An unanswered start is repeated while its permit is valid
    Given a pool of 4 workers with urgent and batch queues
    And every worker leaves its next start order unanswered
    When an urgent job of 4 tasks is submitted
    And 1.5 seconds go by
    Then all jobs are shown as "completed"
    And the workers' record is clean

  Scenario: Estimates that are far off quarantine no worker
    Given a pool of 4 workers with urgent and batch queues
    When 12 batch jobs of 3 tasks are submitted that take 4 times their estimate
    And 20 seconds go by
    Then all jobs are shown as "completed"
    And no worker was ever quarantined

  Scenario: A job with nothing running gets a quarantined worker
    Given a pool of 4 workers with urgent and batch queues
    And all workers are quarantined for 10 seconds
    When a batch job of 2 tasks of 1 second is submitted
    And 3 seconds go by
    Then some task of the last job has started

  Scenario Outline: A wide step runs in waves of a quarter of its pool
    Then a step of <count> tasks in a pool with capacity for <capacity> runs in <times> waves

    Examples:
      | count | capacity | times |
      | 10    | 40       | 1     |
      | 11    | 40       | 2     |
      | 48    | 56       | 4     |
      | 48    | 0        | 1     |

  Scenario: A wide job's objective counts its waves
    Given a pool of 4 workers with urgent and batch queues
    When a batch job of 64 tasks of 1 second is submitted
    And 0.5 seconds go by
    Then the last job has more than 24 seconds to its due time
