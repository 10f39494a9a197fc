Feature: Logging is bounded and never blocks a process

  Scenario: Excess lines are dropped and counted, and warnings are still written
    Given a log of 100 lines a second
    When 5000 lines and 10 warnings are logged within a second
    Then 80 lines and 10 warnings were written
    When a line is logged a second later
    Then the log says that 4920 lines were dropped

  Scenario: A reader that has stopped reading blocks no process
    Given a log whose reader has stopped reading
    When a line is logged
    And a line is logged a second later, and the reader reads again
    Then the log says that 1 lines were dropped
