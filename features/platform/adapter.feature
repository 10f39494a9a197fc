Feature: The adapter speaks the platform's protocol on real sockets

  Scenario Outline: A start that is answered <status> <reason> means <answer>
    Given a platform that answers "/-/run-start" with <status> and reason "<reason>"
    When a run is started
    Then the start's answer is "<answer>"
    And the call has the worker's id and the lease of the first attempt

    Examples:
      | status | reason | answer     |
      | 200    |        | started    |
      | 409    | fence  | fence      |
      | 409    | old    | old        |
      | 409    | late   | late       |
      | 409    | room   | room       |
      | 409    | ticket | ticket     |
      | 421    |        | other life |
      | 429    |        | busy       |
      | 503    |        | busy       |
      | 400    |        | bad        |

  Scenario: A start whose connection is closed may have been carried out
    Given a platform that closes the connection on "/-/run-start"
    When a run is started
    Then the start's answer is "silent"

  Scenario: A start that is never answered may have been carried out
    Given a platform that never answers "/-/run-start"
    When a run is started
    Then the start's answer is "silent"

  Scenario: A worker's lists are decoded and malformed rows are skipped
    Given a platform whose worker lists a run, an end and malformed rows
    When the worker is polled
    Then the report has 1 run and 1 end

  Scenario Outline: A list of <count> ends is <whole>
    Given a platform whose worker lists <count> ends
    When the worker is polled
    Then its report is <whole>

    Examples:
      | count | whole      |
      | 499   | complete   |
      | 500   | incomplete |

  Scenario: Ends are acknowledged over the connection that brought them
    Given a platform whose worker lists a run, an end and malformed rows
    When the worker is polled twice, with end 1 of incarnation 9 read
    Then the ends up to "0, 1" were acknowledged by the polls

  Scenario: No end of another incarnation is acknowledged
    Given a platform whose worker lists a run, an end and malformed rows
    When the worker is polled twice, with end 1 of incarnation 8 read
    Then the ends up to "0, 0" were acknowledged by the polls

  Scenario: Nothing is acknowledged over a new connection, which may lead to another incarnation
    Given a platform whose worker lists a run, an end and malformed rows
    When the worker closes its connection between two polls
    Then the ends up to "0, 0" were acknowledged by the polls

  Scenario: No lease is extended over a connection that may lead to another incarnation
    Given a platform whose worker lists a run, an end and malformed rows
    When the worker closes its connection between two polls
    Then no poll extended the lease

  Scenario: A lease is extended over the connection that led to the incarnation
    Given a platform whose worker lists a run, an end and malformed rows
    When the worker is polled twice, with end 1 of incarnation 9 read
    Then only the second poll extended the lease

  Scenario: An unanswered acknowledgement is repeated once the same incarnation has answered
    Given a platform whose worker lists a run, an end and malformed rows
    When the worker is polled four times and loses the first acknowledgement
    Then the ends up to "0, 1, 0, 1" were acknowledged by the polls

  Scenario: A poll refused for its token means that there is a newer owner
    Given a platform that answers "/-/hold" with 409 and reason "fence"
    When the worker is polled
    Then the poll ends with "OrderFencedError"

  Scenario Outline: A store that answers <status> has done <what>
    Given a platform that answers "/-/rows-tx" with <status> and reason ""
    When a row is written
    Then the write ends with "<error>"

    Examples:
      | status | what    | error               |
      | 429    | nothing | StoreRefusedError   |
      | 503    | nothing | StoreRefusedError   |
      | 500    | unknown | StoreUncertainError |

  Scenario Outline: A store that answers <status> refuses a write <how>
    Given a platform that answers "/-/rows-tx" with <status> and reason ""
    When a row is written
    Then the store refused it <how>

    Examples:
      | status | how      |
      | 400    | for good |
      | 413    | for good |
      | 429    | for now  |
      | 503    | for now  |

  Scenario: A write whose connection is closed is uncertain
    Given a platform that closes the connection on "/-/rows-tx"
    When a row is written
    Then the write ends with "StoreUncertainError"

  Scenario: A condition that does not hold returns the current row
    Given a platform whose store has row "k" at the conflicting version 7
    When a row is written
    Then the write conflicts with version 7

  Scenario: A start on a refused connection was certainly not sent
    Given a platform that no longer listens
    When a run is started
    Then the start's answer is "not sent"

  Scenario: A feed from a version that is too old reports lost history
    Given a platform that answers "/-/rows-feed" with 410 and reason ""
    When a feed is followed
    Then the feed ends with "HistoryLostError"

  Scenario: Invalid entries of other writers are skipped
    Then these worker entries are skipped:
      | entry                                                       |
      | not json                                                    |
      | {}                                                          |
      | {"Service":"s","Address":"a","State":"gone","Capacity":{"Cpu":1,"MemMb":1}} |
      | {"Service":"s","Address":1,"State":"ready","Capacity":{"Cpu":1,"MemMb":1}}  |
    And a configuration of "[]" is skipped

  Scenario Outline: A worker entry with <fault> is skipped
    Then a worker entry with <fault> is skipped

    Examples:
      | fault                     |
      | very deep nesting         |
      | a number too large        |
      | a negative capacity       |
      | an excessive capacity     |
      | a port out of range       |
      | a port of 5000 digits     |
      | a negative port           |
      | a port that is no number  |
      | a host name               |
      | an unclosed bracket       |
      | a zero byte in its address |
      | an IPv6 address           |
      | an IPv6 address in brackets |
      | a text as slots           |
      | a number as label         |
      | no Zone                   |
      | no Version                |
      | no Slots                  |
      | no ColdRemainingMs        |
      | no Capacity               |
      | no Labels                 |
      | no Sequence               |

  Scenario Outline: A worker at the address "<address>" can't be called, and nothing else fails
    Given a worker at the address "<address>"
    When a run is started
    Then the start's answer is "not sent"
    When the worker is polled
    Then the poll ends with "WorkerUnreachableError"

    Examples:
      | address       |
      | ::1:8080      |
      | 1.2.3.4:99999 |
      | [::           |

  Scenario: A deeply nested configuration is skipped
    Then a configuration with very deep nesting is skipped

  Scenario: An invalid route is left out, and the others of its version are in force
    Then a configuration with an invalid route has all other routes and its version

  Scenario: Settings give the resources of the machine
    When settings with limits are read
    Then they give 1.5 cores and a link of 200 Mbit/s

  Scenario: The connections of waiting feeds follow from the process's descriptors
    When settings with 4100 descriptors are read
    Then 60 feeds of a table may wait

  Scenario Outline: What callers may take follows from memory and descriptors
    When settings with <memory> MB and <count> descriptors are read
    Then callers may open <connections> connections and send <mb> MB

    Examples: machines
      | memory | count | connections | mb   |
      | 160    | 4100  | 426         | 10   |
      | 552    | 4100  | 1472        | 34.5 |
      | 552    | 328   | 64          | 34.5 |
      | 0      | 0     | 412         | 10   |

  Scenario: A process with few descriptors may wait for two feeds of a table
    When settings with 328 descriptors are read
    Then 2 feeds of a table may wait

  Scenario: Too few descriptors are refused at load
    When settings with 327 descriptors are read
    Then the error names "`$.Limits.MaxFds` is 327; allow 328 or more"

  Scenario Outline: Settings with <fault> are refused
    When settings with <fault> are read
    Then the error names "<key>"

    Examples:
      | fault          | key            |
      | no address     | platform       |
      | a text as port | PortRange      |
      | no file        | can not be read |
