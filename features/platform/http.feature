Feature: The HTTP client of the adapter keeps its connections usable

  Scenario: Calls that time out before they are sent block no connection
    Given a client of 3 connections to a platform that never answers "/hold"
    When 5 calls time out before they are sent
    Then a call is answered

  Scenario: Queued calls that time out with those before them block none
    Given a client of 3 connections to a platform that never answers "/hold"
    When 3 calls to "/hold" and then 6 calls queued behind them time out 8 times
    Then a call is answered

  Scenario: An answer that arrives while the event loop is blocked isn't late
    Given a client that does not count time in which its event loop is blocked
    Then a call of 0.25 seconds is answered though the loop is blocked for 0.6

  Scenario: Calls that are sent together open no more connections than allowed
    Given a client of 3 connections to a platform that never answers "/hold"
    When 12 calls are sent together, 5 times
    Then a call is answered
    And 3 connections were opened at most
