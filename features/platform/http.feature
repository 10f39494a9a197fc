Feature: The adapter's client keeps its connections usable

  Scenario: Calls that are given up before they are sent cost no connection
    Given a client of 3 connections to a platform that never answers "/hold"
    When 5 calls are given up before they are sent
    Then a call is answered

  Scenario: Calls that are given up just after those before them cost none
    Given a client of 3 connections to a platform that never answers "/hold"
    When 3 calls to "/hold", and then 6 that wait behind them, are given up 8 times
    Then a call is answered

  Scenario: An answer that comes while the loop is held up isn't taken for late
    Given a client that leaves out the time in which its loop is held up
    Then a call of 0.25 seconds is answered in a loop held up for 0.6

  Scenario: Calls that are sent together open no more connections than allowed
    Given a client of 3 connections to a platform that never answers "/hold"
    When 12 calls are sent together, 5 times
    Then a call is answered
    And 3 connections were opened at most
