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

  Scenario: A connection that the platform closes after a reply is replaced
    Given a client of 3 connections to a platform that never answers "/hold"
    And the platform closes each connection after its reply
    When 3 calls are sent one after the other
    Then a call is answered
    And 4 calls were answered on as many connections

  Scenario: Calls one after the other use one connection
    Given a client of 3 connections to a platform that never answers "/hold"
    When 5 calls are sent one after the other
    Then a call is answered
    And 1 connections were opened at most

  Scenario: A request is sent in one write
    Then a head and a body that are written one after the other are sent at once

  Scenario: Idle connections that have all gone silent cost one lost call
    Given a client of 8 connections to a platform that never answers "/hold"
    When 8 calls are sent together, 1 times
    And all open connections go silent
    Then at most 1 call is lost until one is answered
    And 9 connections were opened

  Scenario: A connection that has carried a reply just before a lost call is kept
    Given a client of 3 connections to a platform that never answers "/hold"
    When a call to "/hold" is cancelled just after another one was answered
    Then a call is answered
    And 2 connections were opened

  Scenario: The daemon's idle connections that have all gone silent cost one lost call
    Given the daemon's client of a table service with 6 idle connections
    Then at most 1 scan is lost after all connections have gone silent

  Scenario: A reply that arrives for longer than the timeout is read whole
    Given a client of 3 connections to a platform that never answers "/hold"
    And the platform sends replies in 6 parts that are 0.1 seconds apart
    Then a call with a timeout of 0.25 seconds gets the whole reply

  Scenario: A reply that stops arriving is given up
    Given a client of 3 connections to a platform that never answers "/hold"
    And the platform stops after 2 of 6 parts that are 0.1 seconds apart
    Then a call with a timeout of 0.25 seconds gets no answer
