Feature: No job stays without a run while workers that may run it have room

  Scenario: A starved job gets its good worker on probation, others being idle
    Given a pool of 4 workers with urgent and patient queues
    And worker 0 is on probation for 20 seconds
    When a patient job of 2 tasks is submitted that only the workers "0" may run
    And 3 seconds go by
    Then some task of the last job has started

  Scenario: A starved large task gets its good worker on probation
    Given a pool of 4 workers with urgent and patient queues
    And worker 0 is on probation for 20 seconds
    When a whole-worker job is submitted that only the workers "0" may run
    And 3 seconds go by
    Then some task of the last job has started

  Scenario: A job with nothing running asks for workers that join after a refusal
    Given a pool of 4 workers with urgent and patient queues
    When a patient job of 2 tasks is submitted that only the workers "4" may run
    And 2 seconds go by
    And worker 4 joins
    And 3 seconds go by
    Then some task of the last job has started

  Scenario: A large task whose only good worker has left goes to one that joins
    Given a pool of 4 workers with urgent and patient queues
    When a patient job of 40 tasks of 2 seconds is submitted
    And a whole-worker job is submitted that only the workers "0 4" may run
    And 1 second goes by
    And worker 0 leaves
    And worker 4 joins
    And 3 seconds go by
    Then some task of the last job has started

  Scenario: A large task asks for a worker that the first call left out
    Given a pool of 4 workers with urgent and patient queues
    When whole-worker jobs of 8 seconds fill the workers "0"
    And worker 1 is on probation for 1 second
    And a whole-worker job is submitted that only the workers "0 1" may run
    And 2 seconds go by
    Then some task of the last job has started

  Scenario: A job that the first 30 workers may not run asks for the others
    Given a pool of 36 workers with urgent and patient queues
    When a patient job of 2 tasks is submitted that only the workers "8 9" may run
    And 3 seconds go by
    Then some task of the last job has started

  Scenario: Permits are requested again for a worker that restarted
    Given a pool of 4 workers with urgent and patient queues
    When a patient job of 2 tasks is submitted that only the workers "0" may run
    And worker 0 falls silent
    And 8 seconds go by
    And worker 1 restarts and may run the job
    And 3 seconds go by
    Then a task of the last job runs on worker 1

  Scenario: A starved large task gets permits for room that is kept for a gang
    Given a pool of 4 workers with urgent and patient queues
    And permits hold for 1 second
    When whole-worker jobs of 5 seconds fill the workers "1 2"
    And a gang is submitted that only the workers "0 1 2" may run
    And 0.5 seconds go by
    And a whole-worker job is submitted that only the workers "0" may run
    And 2.5 seconds go by
    Then some task of the last job has started

  Scenario: A starved gang uses a worker on probation beside sound ones
    Given a pool of 4 workers with urgent and patient queues
    And worker 0 is on probation for 20 seconds
    When a gang is submitted that only the workers "0 1 2" may run
    And 3 seconds go by
    Then some task of the last job has started

  Scenario: Idle workers on probation don't count a pool as busy
    Given a pool of 5 workers with urgent and patient queues
    And worker 0 is on probation for 20 seconds
    And worker 1 is on probation for 20 seconds
    When whole-worker jobs of 8 seconds fill the workers "2 3"
    And a patient job of 2 tasks is submitted that only the workers "0" may run
    And 3 seconds go by
    Then some task of the last job has started

  Scenario: A lasting task gets a worker on probation while others of its job run
    Given a pool of 5 workers with urgent and patient queues
    And worker 3 is on probation for 20 seconds
    And worker 4 is on probation for 20 seconds
    When a job of 4 lasting tasks, one a worker, is submitted
    And 3 seconds go by
    Then all tasks of the last job have started
