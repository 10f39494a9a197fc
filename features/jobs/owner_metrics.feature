Feature: Metrics show the takeovers and the starts of an owner

  Background:
    Given a job cell of 3 nodes and 4 workers

  Scenario: A new owner's metrics show its takeover and what it starts
    When the owner is killed
    And 4 seconds go by
    And a job of the steps "3" is submitted
    And 1 second goes by
    Then the owner's metrics have these samples
      | sample                                                      | value |
      | cyclamentrack_slices_claimed_total                          | 1     |
      | cyclamentrack_starts_confirmed_total                        | 3     |
      | cyclamentrack_latency_seconds_count{request="start"}          | 3     |
      | cyclamentrack_latency_seconds_count{request="slice_recovery"} | 1     |

  Scenario: Starts that a worker leaves unanswered are counted
    Given 1 starts are carried out late by every worker
    When a job of the steps "1" is submitted
    And 1 second goes by
    Then the owner's metrics have these samples
      | sample                                 | value |
      | cyclamentrack_starts_unanswered_total | 1     |

  Scenario: A node that loses a slice counts it
    When another owner fences the workers
    And 2 seconds go by
    Then the former owner's metrics have these samples
      | sample                                | value |
      | cyclamentrack_slices_given_up_total | 1     |

  Scenario: A node that owns several pools counts the open jobs of all
    Given a second pool on the same node
    When a job of the steps "1" of 30 seconds is submitted
    And 1 second goes by
    Then the owner's metrics have these samples
      | sample                  | value |
      | cyclamentrack_jobs_open | 1     |
