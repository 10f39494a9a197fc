Feature: The adapter's client keeps its connections usable

  Scenario: Calls that time out before they are sent leak no connection
    Given a client of 3 connections to a platform that never answers "/hold"
    When 5 calls time out before they are sent
    Then a call is answered

  Scenario: Calls that time out just after the calls ahead of them leak no connection
    Given a client of 3 connections to a platform that never answers "/hold"
    When 3 calls to "/hold", and then 6 that wait behind them, time out 8 times
    Then a call is answered

  Scenario: A reply that arrives while the loop is blocked isn't late
    Given a client whose timeouts leave out the time in which its loop is blocked
    Then a call of 0.25 seconds is answered in a loop blocked for 0.6

  Scenario: Calls that are sent together open no more connections than allowed
    Given a client of 3 connections to a platform that never answers "/hold"
    When 12 calls are sent together, 5 times
    Then a call is answered
    And 3 connections were opened at most
