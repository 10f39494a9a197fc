Feature: A malformed message costs one answer, not a pool or a process

  Scenario Outline: A worker's row with <fault> is skipped
    Given a platform whose worker also lists a run and an end with <fault>
    When the worker is polled
    Then the report has 1 run and 1 end

    Examples:
      | fault                 |
      | a text as number      |
      | an unknown outcome    |
      | a text as progress    |

  Scenario Outline: A worker's answer of <body> is an answer that did not arrive
    Given a platform that answers "/-/hold" with the bytes "<body>"
    When the worker is polled
    Then the poll ends with "WorkerUnreachableError"

    Examples:
      | body        |
      | {"ClockMs"  |
      | deep        |
      | []          |
      | \xff        |

  Scenario Outline: A permit service's answer of <body> grants nothing
    Given a platform that answers "/-/advise" with the bytes "<body>"
    When permits are requested
    Then there is no usable reply

    Examples:
      | body                    |
      | {"Good"                 |
      | {"Good":[["a"]]}        |
      | {"Good":[],"ValidMs":""} |

  Scenario Outline: A store's answer of <body> leaves a <call> uncertain
    Given a platform that answers "<path>" with the bytes "<body>"
    When the store is asked for a <call>
    Then the call ends with "StoreUncertainError"

    Examples:
      | call  | path            | body                     |
      | write | /-/rows-tx      | {"Ver"                   |
      | write | /-/rows-tx      | {"Ver":"x"}              |
      | scan  | /-/rows-get     | []                       |
      | feed  | /-/rows-feed    | {"rows":[{"Ver":1}]}     |
      | parts | /-/rows-parts   | {"parts":[1]}            |

  Scenario Outline: A peer at the address "<address>" is unreachable
    Given a peer at the address "<address>"
    Then a call to it fails as unreachable

    Examples:
      | address       |
      | 1.2.3.4:99999 |
      | 1.2.3.4:-1    |
      | [::           |

  Scenario: A peer's malformed reply and its second reply end no process
    Given a peer that replies with other bytes, then twice to each request
    Then a call to it fails as unreachable
    And a later call to it is answered

  Scenario: A connection to a peer that has gone silent costs one lost call
    Given a peer whose first connection goes silent after one reply
    Then a call to it is answered, the next is lost, and the one after is answered

  Scenario Outline: A malformed row in table "<table>" is skipped
    Given a job cell of 3 nodes and 4 workers
    When other bytes are written to a row of table "<table>"
    And 1 second goes by
    And a job of the steps "2" is submitted
    And 3 seconds go by
    Then the job is shown as "completed" by every node
    And every node still runs

    Examples:
      | table   |
      | members |
      | jobs    |

  Scenario: An owner recovers a pool although a row is malformed
    Given a job cell of 3 nodes and 4 workers
    When other bytes are written to a row of table "jobs"
    And the owner is killed
    And 4 seconds go by
    And a job of the steps "2" is submitted
    And 3 seconds go by
    Then the job is shown as "completed" by every node
    And every node still runs
