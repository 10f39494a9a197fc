Feature: The journal of a slice

  Scenario: Who waits for a row waits for it even if it is written again
    Given a journal whose store takes 1 second for a commit
    When row "a" is put, then "b" while the first commit is under way
    And "b" is put again before that commit ends
    Then the wait for "b" ends only after "b" is kept

  Scenario: A journal whose slice was claimed by another stops
    Given a journal whose store takes 1 second for a commit
    When another owner replaces the head row
    And row "a" is put
    Then the journal says that its slice is lost
