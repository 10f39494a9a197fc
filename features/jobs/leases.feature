Feature: Leases in other formats

  Background:
    Given a job cell of 3 nodes and 4 workers

  Scenario: A lease that can not be decoded is claimed like a released one
    When the lease is overwritten with other bytes
    And 5 seconds go by
    Then some node owns the pool
    When a job of the steps "2" is submitted
    And 3 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: The previous release can decode a lease without a count
    When a lease without a count is encoded
    Then the previous release decodes it with no job waiting
