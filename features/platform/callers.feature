Feature: Callers get a clear answer to bad input

  Background:
    Given a job cell of 1 nodes and 2 workers
    And an HTTP frontend on its first node

  Scenario Outline: <what>
    When a caller sends <method> "<target>" with body <body>
    Then the caller gets status <status>
    And no further job is stored

    Examples:
      | what                    | method | target                    | body                                            | status |
      | not JSON                | POST   | /lookups/00000000000000aa | x{                                              | 400    |
      | a list                  | POST   | /lookups/00000000000000aa | []                                              | 400    |
      | very deep nesting       | POST   | /lookups/00000000000000aa | deep                                            | 400    |
      | no steps                | POST   | /lookups/00000000000000aa | {"Steps":[]}                                    | 400    |
      | negative processors     | POST   | /lookups/00000000000000aa | {"Steps":[{"Count":1,"Cpu":-5}]}                | 400    |
      | excessive count         | POST   | /lookups/00000000000000aa | {"Steps":[{"Count":99999999}]}                  | 400    |
      | more tasks than allowed | POST   | /lookups/00000000000000aa | {"Steps":[{"Count":6000},{"Count":6000}]}       | 400    |
      | text as number          | POST   | /lookups/00000000000000aa | {"Steps":[{"Count":"two"}]}                     | 400    |
      | depends on itself       | POST   | /lookups/00000000000000aa | {"Steps":[{"Count":1,"After":[0]}]}             | 400    |
      | depends on a later one  | POST   | /lookups/00000000000000aa | {"Steps":[{"Count":1,"After":[1]},{"Count":1}]} | 400    |
      | a huge MayMiss          | POST   | /lookups/00000000000000aa | {"Steps":[{"Count":1,"MayMiss":123456789012345678901234567890}]} | 400 |
      | a negative MayMiss      | POST   | /lookups/00000000000000aa | {"Steps":[{"Count":1,"MayMiss":-1}]}            | 400    |
      | a negative target       | POST   | /lookups/00000000000000aa | {"Steps":[{"Count":1,"TargetMs":-1}]}           | 400    |
      | a start out of range    | POST   | /lookups/00000000000000aa | {"Steps":[{"Count":1}],"RepeatCount":1,"StartAtMs":1e300} | 400 |
      | a negative interval     | POST   | /lookups/00000000000000aa | {"Steps":[{"Count":1}],"RepeatCount":2,"IntervalMs":-1} | 400 |
      | an id that is too short | POST   | /lookups/aa               | {"Steps":[{"Count":1}]}                         | 400    |
      | an id that is no hex    | POST   | /lookups/zz000000000000aa | {"Steps":[{"Count":1}]}                         | 400    |
      | unknown prefix          | POST   | /other/00000000000000aa   | {"Steps":[{"Count":1}]}                         | 404    |
      | more than any worker    | POST   | /lookups/00000000000000aa | {"Steps":[{"Count":1,"Cpu":999000}]}            | 422    |
      | unknown job             | GET    | /lookups/00000000000000aa | -                                               | 410    |
      | wrong method            | PUT    | /lookups/00000000000000aa | -                                               | 405    |

  Scenario: A cancellation of an unknown job stores that it is cancelled, and nothing else
    When a caller sends DELETE "/lookups/00000000000000aa" with body -
    Then the caller gets status 410
    And only the cancellation of job "00000000000000aa" is stored

  Scenario: A body over the limit
    When a caller submits 70000 bytes
    Then the caller gets status 413
    And no further job is stored

  Scenario Outline: A request whose connection ends before its body does is none (<method>)
    When a caller sends POST "/lookups/00000000000000ab" with body {"Steps":[{"Count":1,"Cpu":100,"MemMb":10,"EstimateMs":500}]}
    And the connection of a <method> of job "<job>" ends within its body
    Then the caller gets no answer
    And the only job that is stored, and not cancelled, is "00000000000000ab"

    Examples: methods
      | method | job              |
      | POST   | 00000000000000aa |
      | DELETE | 00000000000000ab |

  Scenario: A job that no row of the store can hold is refused with the limit
    When a caller submits a job of 200 steps with images of 100 bytes
    Then the caller gets status 413
    And the answer names "RowBytes" and "16384"
    And no further job is stored

  Scenario: The same id twice is one job
    When a caller sends POST "/lookups/00000000000000ab" with body {"Steps":[{"Count":2,"Cpu":100,"MemMb":10,"EstimateMs":500}]}
    And a caller sends POST "/lookups/00000000000000ab" with body {"Steps":[{"Count":2,"Cpu":100,"MemMb":10,"EstimateMs":500}]}
    Then the caller gets status 200
    And 3 seconds go by
    And each task of job "00000000000000ab" was started once

  Scenario: Waiting jobs are counted
    When a caller sends GET "/lookups/" with body -
    Then the caller gets status 200
    And the caller gets 0 as the number of waiting jobs
    And the metrics count 1 answers of "get_200" and their latency
