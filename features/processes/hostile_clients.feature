Feature: Clients outside the limits end no process

  The operators don't control the clients. Memory counts what the kernel has
  received for the process; its bound is MemoryMb of the settings.

  Scenario Outline: A node survives <attack>
    When a node of 128 MB is attacked with "<attack>"
    Then its process lives and stays within its memory
    And it serves an ordinary request

    Examples: attacks
      | attack                                |
      | endless trailers                      |
      | stalled bodies                        |
      | bodies sent piece by piece            |
      | complete large bodies                 |
      | pipelined requests, responses unread  |

  Scenario: A node survives very many idle connections and half-open heads
    When a node of 128 MB and 400 descriptors is attacked with "half-open heads"
    Then its process lives and stays within its memory
    And it stays within its descriptors
    And it serves an ordinary request

  Scenario: A node ends in order while clients hold requests open
    When a node gets SIGTERM while clients hold bodies, heads and responses
    Then it has ended with status 0

  Scenario Outline: A job whose body is cut short is no job (<framing>)
    Then a job that is cut short by the end of its connection, <framing>, is unknown

    Examples: framings
      | framing     |
      | with length |
      | chunked     |
