Feature: Large jobs are refused before small ones when memory runs short

  Scenario: The largest job that is allowed has room at the smallest limit
    Given the memory limit of a cell of 2 pools whose smallest node has 64 MB
    Then a job of 10000 tasks in 200 steps with the longest text is admitted

  Scenario Outline: Jobs of <size> bytes leave room for smaller ones
    Given a limit of 8388608 bytes
    When jobs of <size> bytes are added until one is refused
    Then there is room for <smaller> jobs of 4000 bytes

    Examples:
      | size    | smaller |
      | 8000    | 60      |
      | 40000   | 500     |
      | 2600000 | 800     |

  Scenario Outline: The smallest node decides, and all pools share a quarter of it
    Given nodes of <nodes> MB and <pools> pools
    Then each pool may take <limit> bytes

    Examples:
      | nodes       | pools | limit    |
      | 160         | 2     | 20971520 |
      | 160         | 1     | 20971520 |
      | 552,180,0   | 2     | 23592960 |
      | 552         | 3     | 25165824 |
      | 160         | 20    | 8388608  |

  Scenario: Without a known memory there is no limit
    Given nodes of 0 MB and 2 pools
    Then no limit is set

  Scenario: A caller without room comes back after seconds
    Then a caller whose job is refused for want of room waits 3 to 5 seconds
