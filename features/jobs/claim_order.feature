Feature: The order of claims is cheap to compute and the same on all nodes

  Scenario: Ordering four times as many nodes makes five times the calls at most
    Then ordering 120 nodes makes 5 times the calls of ordering 30 at most

  Scenario: Large nodes claim first, then those without a slice, and no two at once
    Then of 4 large and 8 small nodes the large ones claim first
    And an owner claims after the others of its class
    And no two nodes of 12 claim at the same time
