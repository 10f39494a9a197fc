Feature: A wide step is kept in rows that the store accepts

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
