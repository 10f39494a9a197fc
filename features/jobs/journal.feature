Feature: The journal of a slice

  Scenario: A wait for a row covers a later write to the same row
    Given a journal whose store takes 1 second for a commit
    When row "a" is put, then "b" while the first commit is under way
    And "b" is put again before that commit ends
    Then the wait for "b" ends only after "b" is stored

  Scenario: A journal stops once another owner has claimed its slice
    Given a journal whose store takes 1 second for a commit
    When another owner replaces the head row
    And row "a" is put
    Then the journal reports that its slice is lost

  # A new owner that finds neither a job's final state nor the records of its
  # steps starts the job from the beginning.
  Scenario: A job's records are not removed before its final state is stored
    Given a journal whose store takes 1 second for a commit
    When a job with a queued record is closed while 150 other rows are queued
    Then the store has its records or its final state after each commit
    And the wait for its record ended only after its final state was stored

  Scenario: A row that the store refuses for good holds up no other row
    Given a journal whose store takes 1 second for a commit
    When 20 rows are put, one of them too large
    Then all other rows are stored

  Scenario: No row is dropped while the store refuses every commit
    Given a journal whose store takes 1 second for a commit
    When the store refuses all writes for good during 5 seconds
    Then the wait for "b" ends only after "b" is stored
