Feature: Timeouts leave out the time in which the event loop is blocked

  Scenario: A wait whose event is set after the loop was blocked succeeds
    Given a wait of 0.25 seconds
    When 0.1 seconds pass
    And the loop is blocked for 0.8 seconds
    And the awaited event is set
    Then the wait has succeeded

  Scenario: A wait in a loop that runs times out on time
    Given a wait of 0.25 seconds
    When 0.32 seconds pass
    Then the wait has failed

  Scenario: A loop that is blocked again and again extends no wait for ever
    Given a wait of 0.25 seconds
    When the loop is blocked for 0.9 seconds
    And the loop is blocked for 0.9 seconds
    Then the wait has failed

  Scenario: The lag is reported for a second
    Given a wait of 0.25 seconds
    When the loop is blocked for 0.8 seconds
    Then a lag of 0.75 seconds is reported
    When 1.2 seconds pass
    Then a lag of 0 seconds is reported
