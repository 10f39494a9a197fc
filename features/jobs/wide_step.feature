Feature: A wide step is kept in rows that the store accepts

  Scenario: A step that outgrows one row doesn't stop its service
    Given a job cell of 2 nodes and 4 workers
    And the queue needs no permits
    When a job of 1500 checkpointing tasks of 3 seconds is submitted
    And 2 seconds go by
    And another job is submitted
    And 8 seconds go by
    Then both jobs are shown as "completed"
    And the store refused no write
    And each of their tasks was started once
    And the workers' record is clean

  Scenario: A takeover in the middle of a wide step loses and repeats nothing
    Given a job cell of 3 nodes and 4 workers
    And the queue needs no permits
    When a job of 1000 tasks of 2 seconds is submitted
    And 1.5 seconds go by
    And the owner is killed
    And 14 seconds go by
    Then the first job is shown as "completed"
    And all of its tasks have ended
    And the workers' record is clean

  Scenario: A record that the store refuses for good costs its own job only
    Given a job cell of 2 nodes and 4 workers
    And the queue needs no permits
    And the store accepts rows of 700 bytes only
    When a job of 100 tasks of 2 seconds is submitted
    And another job is submitted
    And 5 seconds go by
    Then the first job is shown as "failed"
    And the second job is shown as "completed"
    And no task was started before its record was stored
    And "jobs_unrecorded" was counted once

  Scenario Outline: Checkpoints of <size> bytes cost their job nothing
    Given a job cell of 3 nodes and 2 workers
    And the queue needs no permits
    When a job of 100 tasks with checkpoints of <size> bytes is submitted
    And 1.6 seconds go by
    And the owner is killed
    And 12 seconds go by
    Then the first job is shown as "completed"
    And the store refused no write
    And the workers' record is clean

    Examples:
      | size  |
      | 1000  |
      | 20000 |

  Scenario: A record of an earlier version is read and replaced
    Given a job cell of 1 nodes and 2 workers
    And the queue needs no permits
    When a job of 200 checkpointing tasks of 3 seconds is submitted
    And 1 second goes by
    And all nodes stop and an earlier version's record replaces the job's rows
    And another node starts
    And 9 seconds go by
    Then the first job is shown as "completed"
    And no commit left a task without a record
    And each of their tasks was started once
    And the workers' record is clean

  Scenario: A gang goes on as one run though its rows are of different commits
    Given a job cell of 1 nodes and 4 workers
    And the queue needs no permits
    When a gang of 70 small tasks that fails once is submitted
    And all nodes stop and the first of its rows is as it was in the first run
    And another node starts
    And 30 seconds go by
    Then the first job is shown as "completed"
    And all members were started last in the same run
    And the workers' record is clean

  Scenario: An end costs the encoding of its own row, not of its whole step
    Given a job cell of 1 nodes and 2 workers
    And the queue needs no permits
    When a job of 500 tasks of 2 seconds is submitted and its rows are counted
    Then the first job is shown as "completed"
    And at most 64 tasks were encoded for each start and end
