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
      | was never confirmed      | 0         | 1         | 0       |

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
      | 5         | 0       | given up |
