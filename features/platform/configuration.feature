Feature: A configuration of thousands of routes costs a node little

  Scenario: A configuration of 2000 routes is in force on a node within a second
    Given a job cell of 3 nodes and 4 workers
    When a configuration of 2000 routes is written
    And 1 second goes by
    Then every node has it in force

  Scenario: Looking up a queue searches no list of routes
    Then look-ups by route and by name in 2000 routes take 500 instructions at most

  Scenario: An owner's rounds search no list of routes
    Given a job cell of 1 nodes and 4 workers
    Then an idle cell makes 1.1 times as many calls with 2000 routes as with 20 at most

  Scenario: The longest prefix of a path selects the queue
    Then these paths of host "h" select these queues
      | path       | queue  |
      | /a/0123    | short  |
      | /a/b/0123  | long   |
      | /a/b       | short  |
      | /c/0123    | none   |
