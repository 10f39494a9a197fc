Feature: A late write of a member's row doesn't undo a later one

  Scenario: A removal that is carried out late leaves the registration after it
    Given a job cell of 2 nodes and 2 workers
    When a third node is started
    And 1 second goes by
    And the third node leaves, and its removal is carried out late
    And a third node is started
    And 6 seconds go by
    Then the third node is a member on all nodes

  Scenario: A registration that is carried out late doesn't bring back a node that has left
    Given a job cell of 2 nodes and 2 workers
    When a third node is started, and its registration is carried out late
    And 1.5 seconds go by
    And the third node leaves
    And 6 seconds go by
    Then the third node is a member on no node

  Scenario: A node that leaves before its registration is answered is no member
    Given a job cell of 2 nodes and 2 workers
    When a third node is started, and its registration is carried out late
    And 0.5 seconds go by
    And the third node leaves
    And 6 seconds go by
    Then the third node is a member on no node

  Scenario: A node that was killed registers again under its name
    Given a job cell of 2 nodes and 2 workers
    When a third node is started
    And 1 second goes by
    And the third node is killed
    And a third node is started
    And 1 second goes by
    Then the third node is a member on all nodes
    When the third node leaves
    And 1 second goes by
    Then the third node is a member on no node
    And no row of the third node is left
