Feature: Connections are closed that cost most and say least

  Background:
    Given an intake of 3 connections and 100000 bytes

  Scenario: The largest request without progress is closed to free memory
    When connections "a b c" are opened
    And "a" has sent 40000 bytes
    And "b" has sent 30000 bytes
    And the intake sweeps for 2 seconds
    And "c" has sent 20000 bytes
    And "c" has sent 20000 bytes
    Then "a" was closed for "memory" and no other

  Scenario: Of requests that all grow, the largest is closed to free memory
    When connections "a b c" are opened
    And "a" has sent 30000 bytes
    And "b" has sent 40000 bytes
    And "c" has sent 31000 bytes
    Then "b" was closed for "memory" and no other

  Scenario: A small request isn't closed for the memory that large ones hold
    When connections "a b" are opened
    And "a" has sent 100000 bytes
    And the request of "a" is complete
    And "b" has sent 16000 bytes
    Then no connection was closed

  Scenario: A request that is being served isn't closed to free memory
    When connections "a b" are opened
    And "a" has sent 90000 bytes
    And the request of "a" is complete
    And "b" has sent 20000 bytes
    Then "b" was closed for "memory" and no other

  Scenario: The memory of a request is free once it is answered
    When connections "a b" are opened
    And "a" has sent 90000 bytes
    And the request of "a" is complete
    And the request of "a" is answered
    And "b" has sent 90000 bytes
    Then no connection was closed

  Scenario: The connection that waits longest is closed for a new one
    When connections "a b c" are opened
    And "a" has sent 100 bytes
    And the request of "a" is complete
    And the request of "a" is answered
    And connections "d" are opened
    Then "b" was closed for "connections" and no other

  Scenario: A half-open head doesn't count as a request
    When connections "a b c" are opened
    And "a" has sent 100 bytes
    And connections "d" are opened
    Then "a" was closed for "connections" and no other

  Scenario: A new connection is refused while all others are being served
    When connections "a b c" are opened
    And the requests of "a b c" are complete
    And connections "d" are opened
    Then "d" was refused

  Scenario: A client that doesn't read its response yields to a new connection
    When connections "a b c" are opened
    And the requests of "a b c" are complete
    And the response of "b" can't be sent
    And the intake sweeps for 2 seconds
    And connections "d" are opened
    Then "b" was closed for "connections" and no other

  Scenario: A client that sends requests ahead makes room for one that was refused
    When connections "a b c" are opened
    And the requests of "a b c" are complete
    And connections "d" are opened
    And the request of "a" is answered, and the next has come along
    And the request of "b" is answered, and the next has come along
    Then of "a b c" only "a" was closed
    When connections "e" are opened
    Then "e" was accepted

  Scenario: A client that waits for its response isn't closed for one that was refused
    When connections "a b c" are opened
    And the requests of "a b c" are complete
    And connections "d" are opened
    And the request of "a" is answered
    Then of "a b c" none was closed

  Scenario: Clients that send requests ahead are kept while there is room
    When connections "a b c" are opened
    And the request of "a" is answered, and the next has come along
    Then no connection was closed

  Scenario Outline: <case>
    When connections "a b" are opened
    And "a" has sent 100 bytes
    And <event>
    And the intake sweeps for <passed> seconds
    Then "a" was closed for "<reason>" and no other

    Examples:
      | case                                     | event                            | passed | reason          |
      | A request must arrive in time            | "a" has sent 1 bytes             | 16     | slow_request    |
      | A response must be read in time          | the response of "a" can't be sent | 11    | unread_response |

  Scenario: Bytes now and then don't extend the time in which a request arrives
    When connections "a" are opened
    And "a" has sent 100 bytes
    And the intake sweeps for 8 seconds
    And "a" has sent 100 bytes
    And the intake sweeps for 8 seconds
    Then "a" was closed for "slow_request" and no other

  Scenario: A request that takes long to serve isn't closed
    When connections "a" are opened
    And "a" has sent 100 bytes
    And the request of "a" is complete
    And the intake sweeps for 60 seconds
    Then no connection was closed

  Scenario: A connection is kept between requests
    When connections "a" are opened
    And the intake sweeps for 70 seconds
    Then no connection was closed

  Scenario: A connection without requests isn't kept for ever
    When connections "a" are opened
    And the intake sweeps for 76 seconds
    Then "a" was closed for "idle" and no other

  Scenario: A process that was suspended doesn't take its callers for slow
    When connections "a" are opened
    And "a" has sent 100 bytes
    And the process is suspended for 60 seconds
    Then no connection was closed

  Scenario: A listener that ends closes what has no request, and finishes the others
    When connections "a b" are opened
    And the requests of "a" are complete
    And the listener ends
    Then "b" was closed for "idle" and no other
