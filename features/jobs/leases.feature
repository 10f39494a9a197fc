Feature: Leases of another form

  Background:
    Given a job cell of 3 nodes and 4 workers

  Scenario: A lease that can not be decoded is claimed like a released one
    When the lease is overwritten with other bytes
    And 5 seconds go by
    Then some node owns the pool
    When a job of the steps "2" is submitted
    And 3 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: A lease without a count is read by the release before
    When a lease without a count is encoded
    Then the release before reads no job waiting from it
