Feature: Pools are owned by nodes with enough capacity

  Background:
    Given a job cell of 24 small and 6 large nodes with 8 pools

  Scenario: No small node owns a pool while large ones are alive
    Then large nodes own all pools

  Scenario: Pools are spread over the large nodes
    Then no large node owns 3 pools

  Scenario: The pools of a dead node go to large nodes
    When the owner of the first pool is killed
    And 4 seconds go by
    Then large nodes own all pools

  Scenario: A lost slice is logged with the reason, not with a group of errors
    When another owner fences the first pool
    And 1 second goes by
    Then the log names a newer owner as the reason

  Scenario: Small nodes claim pools soon after all large nodes have died
    When all large nodes are killed
    And 6 seconds go by
    Then small nodes own all pools

  Scenario: A slice transferred right after a renewal goes to a large node
    When all large nodes are killed
    And 6 seconds go by
    And all large nodes are started again
    And 1 second goes by
    And all owners leave, each right after a renewal
    Then every slice was transferred to a large node

  Scenario Outline: Nodes that start together leave the pools to the large ones, schedule <seed>
    Given the same nodes start together under schedule <seed>
    Then large nodes own all pools
    And no large node owns 3 pools

    Examples:
      | seed |
      | 3    |
      | 4    |
      | 7    |
      | 8    |
