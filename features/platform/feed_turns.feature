Feature: Waiting feeds take no connection from the store's other calls

  Scenario: A write is answered while the feeds of many services wait
    Given a store that never answers feeds
    When 60 feeds of "jobs" wait
    Then a write is answered

  Scenario: The leases are followed while the feeds of many services wait
    Given a store that never answers feeds
    When 60 feeds of "jobs" wait
    And a feed of "claims" is followed
    Then the feed of "claims" has reached the store

  Scenario: Feeds of more services than the limit all get their turn
    Given a store that never answers feeds
    When 60 feeds of "jobs" with a wait of 0.1 s have ended
    Then all 60 have reached the store
    And the first 12 have waited for 20 ms
