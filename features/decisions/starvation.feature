Feature: Jobs don't starve while workers that may run them have free capacity

  Scenario: A starved job gets its only permitted worker from quarantine while others idle
    Given a pool of 4 workers with urgent and batch queues
    And worker 0 is quarantined for 20 seconds
    When a batch job of 2 tasks is submitted that only the workers "0" may run
    And 3 seconds go by
    Then some task of the last job has started

  Scenario: A starved large task gets its only permitted worker from quarantine
    Given a pool of 4 workers with urgent and batch queues
    And worker 0 is quarantined for 20 seconds
    When a whole-worker job is submitted that only the workers "0" may run
    And 3 seconds go by
    Then some task of the last job has started

  Scenario: A job with nothing running requests permits on workers that join after a refusal
    Given a pool of 4 workers with urgent and batch queues
    When a batch job of 2 tasks is submitted that only the workers "4" may run
    And 2 seconds go by
    And worker 4 joins
    And 3 seconds go by
    Then some task of the last job has started

  Scenario: A large task whose only permitted worker left runs on one that joins
    Given a pool of 4 workers with urgent and batch queues
    When a batch job of 40 tasks of 2 seconds is submitted
    And a whole-worker job is submitted that only the workers "0 4" may run
    And 1 second goes by
    And worker 0 leaves
    And worker 4 joins
    And 3 seconds go by
    Then some task of the last job has started

  Scenario: A large task requests a permit on a worker that the first call left out
    Given a pool of 4 workers with urgent and batch queues
    When whole-worker jobs of 8 seconds fill the workers "0"
    And worker 1 is quarantined for 1 second
    And a whole-worker job is submitted that only the workers "0 1" may run
    And 2 seconds go by
    Then some task of the last job has started

  Scenario: A job that the first 30 workers may not run requests the others
    Given a pool of 36 workers with urgent and batch queues
    When a batch job of 2 tasks is submitted that only the workers "8 9" may run
    And 3 seconds go by
    Then some task of the last job has started

  Scenario: Permits are requested again for a worker that restarted
    Given a pool of 4 workers with urgent and batch queues
    When a batch job of 2 tasks is submitted that only the workers "0" may run
    And worker 0 stops answering
    And 8 seconds go by
    And worker 1 restarts and may then run the job
    And 3 seconds go by
    Then a task of the last job runs on worker 1

  Scenario: A starved large task gets permits for capacity that is kept for a gang
    Given a pool of 4 workers with urgent and batch queues
    And permits are valid for 1 second
    When whole-worker jobs of 5 seconds fill the workers "1 2"
    And a gang is submitted that only the workers "0 1 2" may run
    And 0.5 seconds go by
    And a whole-worker job is submitted that only the workers "0" may run
    And 2.5 seconds go by
    Then some task of the last job has started

  Scenario: A starved gang uses a quarantined worker along with healthy ones
    Given a pool of 4 workers with urgent and batch queues
    And worker 0 is quarantined for 20 seconds
    When a gang is submitted that only the workers "0 1 2" may run
    And 3 seconds go by
    Then some task of the last job has started

  Scenario: Idle quarantined workers don't make a pool count as busy
    Given a pool of 5 workers with urgent and batch queues
    And worker 0 is quarantined for 20 seconds
    And worker 1 is quarantined for 20 seconds
    When whole-worker jobs of 8 seconds fill the workers "2 3"
    And a batch job of 2 tasks is submitted that only the workers "0" may run
    And 3 seconds go by
    Then some task of the last job has started

  Scenario: A lasting task gets a quarantined worker while others of its job run
    Given a pool of 5 workers with urgent and batch queues
    And worker 3 is quarantined for 20 seconds
    And worker 4 is quarantined for 20 seconds
    When a job of 4 lasting tasks, one a worker, is submitted
    And 3 seconds go by
    Then all tasks of the last job have started

  Scenario Outline: A lasting task whose worker <loss> runs again elsewhere than on its sibling's worker
    Given a pool of 6 workers with urgent and batch queues
    And permits are valid for 1 second
    When a job of 2 lasting tasks of 6 cores, one a worker, is submitted
    And 4 seconds go by
    And the later worker of the last job's tasks <loss>
    And 12 seconds go by
    Then all tasks of the last job are at work
    And the workers' record is clean

    Examples:
      | loss             |
      | loses power      |
      | leaves           |
      | ends its runs    |
