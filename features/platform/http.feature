Feature: The adapter's client keeps its connections usable

  Scenario: Calls that are given up before they are sent cost no connection
    Given a client of 3 connections to a platform that never answers "/hold"
    When 5 calls are given up before they are sent
    Then a call is answered

  Scenario: Calls that are given up just after those before them cost none
    Given a client of 3 connections to a platform that never answers "/hold"
    When 3 calls to "/hold", and then 6 that wait behind them, are given up 8 times
    Then a call is answered
