Feature: Nodes that have left are used no more

  Scenario: A node that leaves while the change history is dropped isn't a member
    Given a job cell of 3 nodes and 4 workers
    When the store goes down in 0 seconds
    And 6 seconds go by
    And a node that owns nothing is removed from the members
    And the store's history is dropped
    And the store is back
    And 6 seconds go by
    Then no node lists it as a member or as a permit route

  Scenario: Reading an owner's permit routes costs the same with more nodes
    Given a job cell of 3 nodes and 4 workers
    Then reading the owner's permit routes makes as many calls with 9 more nodes

  Scenario: Permit routes follow the members that come and go
    Given a job cell of 3 nodes and 4 workers
    When a fourth node is started
    And 1 second goes by
    Then the owner has 4 permit routes
    When the fourth node leaves
    And 1 second goes by
    Then the owner has 3 permit routes
    When the owner is killed
    And 4 seconds go by
    Then the owner has 3 permit routes
