Feature: A slow store still accepts a burst of jobs

  Each transaction of a part takes 40 times as long as usual, and those of a part
  are carried out one after another. When many jobs come at once, the writes that
  accept them must not wait behind each other for longer than their callers do.

  Scenario: Callers of a burst get an answer while the store is slow
    Given a job cell of 6 nodes and 8 workers
    And the store takes 0.16 seconds for each transaction of a part
    When 125 jobs a second are submitted for 5 seconds, each with a timeout of 3 seconds
    Then 95 percent of them are stored and none is in doubt

  Scenario Outline: Jobs in the parts of earlier versions are recovered
    Given a job cell of 3 nodes and 4 workers
    When a job is stored in one of the <parts> parts that earlier versions used
    And the owner is killed
    And 8 seconds go by
    Then the job is shown as "completed" by every node

    Examples:
      | parts |
      | 16    |
      | 64    |

  Scenario Outline: A job in a part of earlier versions doesn't run again after its status time
    Given a job cell of 3 nodes and 4 workers
    When a job is stored in one of the <parts> parts that earlier versions used
    And 3 seconds go by
    And 140 seconds go by
    And the owner is killed
    And 8 seconds go by
    Then each of its tasks was started 1 time at most

    Examples:
      | parts |
      | 16    |
      | 64    |
