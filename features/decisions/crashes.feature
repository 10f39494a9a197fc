Feature: Crashes are put down to the runs that may have caused them

  Scenario Outline: A run that <what> adds <suspicion> to the suspicion of its task
    Given a crashed worker that last answered at 100 seconds
    And a run on it that was confirmed at <confirmed> seconds
    When the crash is put down to its runs
    Then its task has suspicion <suspicion> and <crashes> crashes

    Examples:
      | what                     | confirmed | suspicion | crashes |
      | had just begun           | 99.5      | 2         | 1       |
      | had worked for a while   | 95        | 1         | 1       |
      | was sent, unanswered     | 0         | 2         | 1       |

  Scenario: A run whose start was never sent has crashed no worker
    Given a crashed worker that last answered at 100 seconds
    And a run on it that was never sent
    When the crash is put down to its runs
    Then its task has suspicion 0 and 0 crashes

  Scenario Outline: A loss that no owner has seen, <run>, isolates the next start and counts as no crash
    Given <worker>
    And a run on it that was confirmed at <confirmed> seconds
    When the crash is put down to its runs 5 times
    Then its task has suspicion 0 and 0 crashes
    And it is isolated
    And no task is given up

    Examples:
      | run                    | worker                                                             | confirmed |
      | of a recorded run      | a crashed worker that never answered its owner                     | 0         |
      | of a run just begun    | a crashed worker that last answered at 100 seconds, then unwatched | 99.9      |
      | of an unanswered start | a crashed worker that last answered at 100 seconds, then unwatched | 0         |

  Scenario: A start that a worker without power never answered isolates the next one and counts as no crash
    Given a worker without power that last answered at 100 seconds
    And a run on it that was confirmed at 0 seconds
    When the crash is put down to its runs 5 times
    Then its task has suspicion 0 and 0 crashes
    And it is isolated
    And no task is given up

  Scenario Outline: A run that <what> when its worker lost power adds <suspicion> to the suspicion of its task, also beside a start in doubt
    Given a worker without power that last answered at 100 seconds
    And a run on it that was confirmed at <confirmed> seconds
    And a run on it of another job that was placed at 99.8 seconds, unanswered
    When the crash is put down to its runs
    Then these are the suspicions: "<suspicion>, 0"

    Examples:
      | what                   | confirmed | suspicion |
      | had just begun         | 99.5      | 2         |
      | had worked for a while | 95        | 1         |

  Scenario: A run counts as just begun if a former owner recorded that the worker's connection was lost
    Given a crashed worker that never answered its owner
    And a run on it whose worker closed its connection to a former owner
    And a run on it that was confirmed at 0 seconds
    When the crash is put down to its runs
    Then these are the suspicions: "2, 1"
    And its task has suspicion 2 and 1 crashes

  Scenario: A run that had worked before another one came isn't given up for it
    Given a crashed worker that last answered at 100 seconds
    And a run on it that was confirmed at 99.2 seconds of a task with suspicion 3
    And a run on it of another job that was placed at 99.8 seconds, unanswered
    When the crash is put down to its runs
    Then these are the suspicions: "4, 2"
    And no task is given up

  Scenario: Of several jobs that may have caused a crash none is given up
    Given a crashed worker that last answered at 100 seconds
    And a run on it that was confirmed at 99.9 seconds of a task with suspicion 2
    And a run on it of another job with suspicion 2, unanswered
    When the crash is put down to its runs
    Then these are the suspicions: "4, 4"
    And no task is given up

  Scenario: The run that is suspected most is given up beside others
    Given a crashed worker that last answered at 100 seconds
    And a run on it that was confirmed at 99.9 seconds of a task with suspicion 2
    And a run on it of another job with suspicion 0, unanswered
    When the crash is put down to its runs
    Then these are the suspicions: "4, 2"
    And the first task is given up

  Scenario: An isolated run explains a crash alone
    Given a crashed worker that last answered at 100 seconds
    And a run on it that was confirmed at 99.9 seconds
    And an isolated run on it that was confirmed at 99.9 seconds
    When the crash is put down to its runs
    Then these are the suspicions: "0, 2"

  Scenario: A run that has worked for long clears its task
    Given a crashed worker that last answered at 100 seconds
    And a run on it that was confirmed at 80 seconds of a task with suspicion 3
    When the crash is put down to its runs
    Then these are the suspicions: "0"

  Scenario Outline: A task with suspicion <suspicion> after <crashes> crashes is <verdict>
    Given a task with suspicion <suspicion> after <crashes> crashes
    Then it is <verdict>

    Examples:
      | suspicion | crashes | verdict  |
      | 1         | 1       | trusted  |
      | 2         | 1       | isolated |
      | 4         | 1       | isolated |
      | 4         | 2       | given up |
      | 3         | 3       | isolated |
      | 4         | 4       | given up |
      | 5         | 0       | isolated |
      | 5         | 1       | isolated |
