Feature: Collections of garbage don't hold up an owner's event loop

  Scenario: What is loaded at the start is collected once
    Given a process that has set up its collector
    Then 10000 objects at least are left out of collections
    And 5000 new objects begin no collection
