Feature: Work that callers hand in ends no process

  Each request is inside the limits of a request. Memory counts what the kernel
  has received for the process; its bound is MemoryMb of the settings.

  Scenario Outline: <nodes> nodes of <memory> MB survive <crowd>
    When <nodes> nodes of <memory> MB and 400 descriptors get "<crowd>"
    Then each process lives and stays within its memory and descriptors
    And each node serves an ordinary request
    And each client was answered with 200, 400 or 429

    Examples: crowds
      | crowd                               | nodes | memory |
      | one job of 2,000,000 tasks          | 1     | 128    |
      | jobs of 200 steps of 100 tasks      | 1     | 128    |
      | jobs of 200 steps of 100 tasks      | 3     | 128    |
      | jobs of 200 steps of 50 tasks       | 1     | 128    |
      | jobs of 200 steps of 50 tasks       | 3     | 128    |
      | small jobs with long texts          | 1     | 96     |
      | small jobs with long texts          | 3     | 96     |
      | repeated jobs that are due at once  | 1     | 128    |

  Scenario: A node starts though more is stored than it can hold
    When a node of 128 MB and 400 descriptors starts with stored jobs
    Then each process lives and stays within its memory and descriptors
    And each node serves an ordinary request
    And the stored job that no node can hold is shown as "failed"
