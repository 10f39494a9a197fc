Feature: An id that another queue's job has is refused

  A job belongs to the queue that it was accepted on, whose name or address the
  configuration may change. Through any other queue it can be neither seen nor
  cancelled, and its id isn't free.

  Background:
    Given a job cell of 3 nodes and 4 workers
    And another pool "annex" with 4 workers

  Scenario Outline: A job of another queue keeps its id, by <node> and with pool <pool>
    Given a second queue "other" of the pool "<pool>"
    And an HTTP frontend on <node>
    When a caller submits 2 tasks of 2 seconds to "/lookups/00000000000000ab"
    Then the caller gets status 200
    When a caller submits 2 tasks of 2 seconds to "/other/00000000000000ab"
    Then the caller gets status 409
    And the answer names another id as the remedy
    When a caller sends GET "/other/00000000000000ab" with body -
    Then the caller gets status 410
    When a caller sends DELETE "/other/00000000000000ab" with body -
    Then the caller gets status 410
    When 6 seconds go by
    And a caller sends GET "/lookups/00000000000000ab" with body -
    Then the caller gets the state "completed"
    And each task of job "00000000000000ab" was started once
    When a caller sends GET "/other/00000000000000ab" with body -
    Then the caller gets status 410
    When a caller submits 2 tasks of 2 seconds to "/other/00000000000000ab"
    Then the caller gets status 409

    Examples:
      | node             | pool    |
      | the pool's owner | booking |
      | the pool's owner | annex   |
      | another node     | booking |
      | another node     | annex   |

  Scenario: A job that no worker of the second pool could run is refused by its id
    Given a second queue "other" of the pool "annex"
    And an HTTP frontend on another node
    When a caller submits 2 tasks of 2 seconds to "/lookups/00000000000000ab"
    And a caller sends POST "/other/00000000000000ab" with body {"Steps":[{"Count":1,"Cpu":999000}]}
    Then the caller gets status 409

  Scenario: A job of another queue can't be seen while its pool has no owner
    Given a second queue "other" of the pool "booking"
    And an HTTP frontend on another node
    When a caller submits 2 tasks of 2 seconds to "/lookups/00000000000000ab"
    And the owner is killed
    And a caller sends GET "/other/00000000000000ab" with body -
    Then the caller gets status 410
    When a caller sends DELETE "/other/00000000000000ab" with body -
    Then the caller gets status 410
    When 10 seconds go by
    And a caller sends GET "/lookups/00000000000000ab" with body -
    Then the caller gets the state "completed"

  Scenario Outline: A job stays one job when its queue gets another <part>
    Given an HTTP frontend on another node
    When a caller submits 2 tasks of 2 seconds to "/lookups/00000000000000ab"
    Then the caller gets status 200
    When its queue is configured as "<name>" with the prefix "<prefix>"
    And a caller submits 2 tasks of 2 seconds to "<prefix>00000000000000ab"
    Then the caller gets status 200
    When 6 seconds go by
    And a caller sends GET "<prefix>00000000000000ab" with body -
    Then the caller gets the state "completed"
    And each task of job "00000000000000ab" was started once
    When a caller submits 2 tasks of 2 seconds to "<prefix>00000000000000ab"
    Then the caller gets status 200

    Examples:
      | part   | name    | prefix    |
      | prefix | lookups | /moved/   |
      | name   | renamed | /lookups/ |

  Scenario: A job whose queue has got another name is cancelled under its address
    Given an HTTP frontend on another node
    When a caller submits 2 tasks of 9 seconds to "/lookups/00000000000000ab"
    And its queue is configured as "renamed" with the prefix "/lookups/"
    And a caller sends DELETE "/lookups/00000000000000ab" with body -
    Then the caller gets status 200
    When 2 seconds go by
    And a caller sends GET "/lookups/00000000000000ab" with body -
    Then the caller gets the state "cancelled"

  Scenario Outline: A cancellation of <whose> that <who> finds <does>
    Given an HTTP frontend on another node
    When a caller submits 2 tasks of 9 seconds to "/lookups/00000000000000ab"
    And 1 second goes by
    And a cancellation of <whose> is stored
    And it is to be found by <who>
    And 8 seconds go by
    And a caller sends GET "/lookups/00000000000000ab" with body -
    Then the caller gets the state "<state>"

    Examples:
      | whose              | who         | does            | state     |
      | another queue      | the owner   | cancels nothing | running   |
      | another queue      | a new owner | cancels nothing | running   |
      | its own queue      | the owner   | cancels its job | cancelled |
      | its own queue      | a new owner | cancels its job | cancelled |
      | an earlier version | the owner   | cancels its job | cancelled |
      | an earlier version | a new owner | cancels its job | cancelled |
