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
