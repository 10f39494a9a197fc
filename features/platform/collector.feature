Feature: Garbage collection doesn't block an owner's event loop for long

  Scenario: Objects that are loaded at the start are collected only once
    Given a process that has set up its garbage collector
    Then at least 10000 objects are excluded from collections
    And 5000 new objects trigger no collection
