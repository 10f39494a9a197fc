Feature: Nodes refuse jobs of an overloaded pool before they store them

  Background:
    Given a job cell of 3 nodes and 4 workers
    And an HTTP frontend on its first node
    And the accounts and keys
      | account | keys |
      | north   | n1   |

  Scenario: A refused job gets 429, and a repetition of an accepted one 200
    When a caller with the key "n1" sends POST "/lookups/00000000000000ab"
    Then the caller gets status 200
    Given every node has read that the pool is overloaded
    When a caller with the key "n1" sends POST "/lookups/00000000000000ab"
    Then the caller gets status 200
    When a caller with the key "n1" sends POST "/lookups/00000000000000ac"
    Then the caller gets status 429
    And the caller is told to come back after 3 to 5 seconds
    When a caller with the key "n1" sends GET "/lookups/00000000000000ac"
    Then the caller gets status 410

  Scenario: Figures are published, and old ones are not used
    Then every node reads figures of the pool that are not older than 2 seconds
    When the owner has published nothing for 9 seconds
    Then no node has figures of the pool
