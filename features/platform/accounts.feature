Feature: Requests are served for the client account whose key they carry

  A key that the configuration in force doesn't name opens nothing, also when an
  earlier version named it; a public queue needs none.

  Background:
    Given a job cell of 3 nodes and 4 workers
    And an HTTP frontend on its first node
    And the accounts and keys
      | account | keys    |
      | north   | n1 n2   |
      | south   | s1      |

  Scenario Outline: <method> with <key> gets <status>
    When a caller with the key "n1" sends POST "/lookups/00000000000000ab"
    Then the caller gets status 200
    When a caller with the key "<key>" sends <method> "<target>"
    Then the caller gets status <status>

    Examples:
      | method | key     | target                    | status |
      | POST   | n2      | /lookups/00000000000000ab | 200    |
      | POST   | s1      | /lookups/00000000000000ab | 409    |
      | POST   | s1      | /lookups/00000000000000ac | 200    |
      | POST   | unknown | /lookups/00000000000000ac | 401    |
      | POST   | none    | /lookups/00000000000000ac | 401    |
      | POST   | none    | /public/00000000000000ac  | 200    |
      | POST   | unknown | /public/00000000000000ac  | 200    |
      | POST   | unknown | /other/00000000000000ac   | 404    |
      | GET    | n2      | /lookups/00000000000000ab | 200    |
      | GET    | s1      | /lookups/00000000000000ab | 410    |
      | GET    | unknown | /lookups/00000000000000ab | 401    |
      | DELETE | n2      | /lookups/00000000000000ab | 200    |
      | DELETE | s1      | /lookups/00000000000000ab | 410    |
      | DELETE | unknown | /lookups/00000000000000ab | 401    |
      | GET    | n1      | /lookups/                 | 200    |
      | GET    | unknown | /lookups/                 | 401    |

  Scenario: A refusal for an unknown key says which credentials are asked for
    When a caller with the key "unknown" sends POST "/lookups/00000000000000ac"
    Then the caller gets status 401
    And the answer has a "www-authenticate" header of "Bearer"
    And no further job is stored

  Scenario: A withdrawn key is refused while the store is down, and a new one serves
    When the accounts and keys are
      | account | keys |
      | north   | n3   |
    And 1 second goes by
    And the store goes down
    And a caller with the key "n1" sends POST "/lookups/00000000000000ac"
    Then the caller gets status 401
    When the store is back
    And 2 seconds go by
    And a caller with the key "n3" sends POST "/lookups/00000000000000ac"
    Then the caller gets status 200
    When a caller with the key "s1" sends POST "/lookups/00000000000000ad"
    Then the caller gets status 401

  Scenario: A job belongs to its account under a later key and a new owner
    When a caller with the key "n1" sends POST "/lookups/00000000000000ab"
    And 3 seconds go by
    And the accounts and keys are
      | account | keys |
      | north   | n3   |
      | south   | s1   |
    And the owner is killed
    And 10 seconds go by
    And an HTTP frontend on a node that is left
    And a caller with the key "n3" sends GET "/lookups/00000000000000ab"
    Then the caller gets the state "completed"
    When a caller with the key "s1" sends GET "/lookups/00000000000000ab"
    Then the caller gets status 410

  Scenario: Without accounts in the configuration no key is asked for
    Given the configuration names no accounts
    When a caller with the key "none" sends POST "/lookups/00000000000000ac"
    Then the caller gets status 200

  Scenario Outline: A node that can't know the newest configuration refuses <what> with <status>
    Given the store refuses the calls of the first node
    And <age> seconds go by
    When a caller with the key "<key>" sends POST "<target>"
    Then the caller gets status <status>

    Examples:
      | what           | key     | target                    | age | status |
      | a route        | n1      | /other/00000000000000ac   | 3   | 503    |
      | a key          | unknown | /lookups/00000000000000ac | 3   | 503    |
      | a recent route | n1      | /other/00000000000000ac   | 0   | 404    |
      | a recent key   | unknown | /lookups/00000000000000ac | 0   | 401    |
