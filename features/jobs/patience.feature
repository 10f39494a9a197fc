Feature: Time in which the loop is held up doesn't count as waiting

  Scenario: What is ready after the loop was held up isn't late
    Given a wait of 0.25 seconds
    When 0.1 seconds pass
    And the loop is held up for 0.8 seconds
    And what is waited for is ready
    Then the wait has succeeded

  Scenario: A wait in a loop that runs ends in time
    Given a wait of 0.25 seconds
    When 0.32 seconds pass
    Then the wait has failed

  Scenario: A loop that is held up again and again stretches no wait for ever
    Given a wait of 0.25 seconds
    When the loop is held up for 0.9 seconds
    And the loop is held up for 0.9 seconds
    Then the wait has failed

  Scenario: The lag is told for a second
    Given a wait of 0.25 seconds
    When the loop is held up for 0.8 seconds
    Then a lag of 0.75 seconds is told
    When 1.2 seconds pass
    Then a lag of 0 seconds is told
