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
