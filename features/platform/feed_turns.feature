Feature: Feeds and scans take no connection from the store's short calls

  Scenario: A write is answered while the feeds of many services wait
    Given a store that never answers feeds
    When 60 feeds of "jobs" wait
    Then a write is answered

  Scenario: The leases are followed while the feeds of many services wait
    Given a store that never answers feeds
    When 60 feeds of "jobs" wait
    And a feed of "claims" is followed
    Then the feed of "claims" has reached the store

  Scenario: A write is answered while the scans of many services wait for replies
    Given a store that never answers scans
    When 60 scans have begun
    Then a write is answered
    And no scan has ended before it

  Scenario: Feeds of more services than the limit all get their turn
    Given a store that never answers feeds
    When 60 feeds of "jobs" with a wait of 0.1 s have ended
    Then all 60 have reached the store
    And the first 12 have waited for 20 ms
