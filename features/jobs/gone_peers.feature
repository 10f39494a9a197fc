Feature: Members that are gone hold nothing up, and their rows are removed

  Background:
    Given a cell of 6 nodes beside the rows of 30 members that are gone

  Scenario: A job whose permit decision is slow starts
    When a job is submitted that needs a slow permit decision
    And 5 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: A job starts although its new owner has learnt nothing of its peers
    When the owner is killed
    And 4 seconds go by
    And a job is submitted that needs a slow permit decision
    And 5 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: A job starts although half of the live nodes became unreachable at once
    When 3 nodes other than the owner become unreachable
    And a job is submitted that needs a slow permit decision
    And 5 seconds go by
    Then the owner shows the job as "completed"

  Scenario: A job starts although the store was down and machines were removed meanwhile
    When the store answers nobody for 20 seconds while 2 nodes are killed
    And 5 seconds go by
    And a job is submitted that needs a slow permit decision
    And 5 seconds go by
    Then the owner shows the job as "completed"

  Scenario: A node that the store refuses stores a job through a peer that answers
    When the store refuses one node
    Then a job that is submitted to that node is accepted within 1 second

  Scenario: A slice is handed over to a peer that answers, and no row of the former owner stays
    When the owner leaves
    And 0.2 seconds go by
    Then another node owns the slice
    And no row of the former owner is left

  Scenario: The rows of members that are gone are removed, and none of a live one
    When 150 seconds go by
    Then the members on each node are the 6 live nodes

  Scenario: No row of a node is removed while half of all nodes don't reach the other half
    When 3 nodes are cut off from their peers, but not from the store, for 200 seconds
    And 6 seconds go by
    Then the members on each node are the 6 live nodes
    And the row of each live node was written 6 times at most

  Scenario: No row is removed by nodes that the store doesn't answer
    When the store answers nobody for 100 seconds
    Then the rows of all members are there
    When 5 seconds go by
    Then the rows of all members are there

  Scenario: A row that was removed by mistake comes back
    When the row of a live node is removed
    And 4 seconds go by
    Then that node is a member on all nodes
