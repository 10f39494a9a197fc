Feature: Logs are bounded and never hold a process up

  Scenario: A flood of lines is cut, counted, and leaves room for warnings
    Given a log of 100 lines a second
    When 5000 lines and 10 warnings are logged within a second
    Then 80 lines and 10 warnings were written
    When a line is logged a second later
    Then the log says that 4920 lines were dropped

  Scenario: A reader that has stopped reading holds nobody up
    Given a log whose reader takes nothing
    When a line is logged
    And a line is logged a second later, and the reader reads
    Then the log says that 1 lines were dropped
