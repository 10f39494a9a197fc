Feature: An owner keeps no more jobs in memory than it has room for

  The smallest limit is 8 MiB. A job of 10,000 tasks takes a third of it, and
  leaves the rest to smaller jobs.

  Background:
    Given a job cell of 3 nodes of 64 MB and 4 workers
    And the queue needs no permits

  Scenario: A job that there is no room for is refused, and accepted once there is
    When a large job is submitted
    And another large job is submitted, which is answered "full"
    And a small job is submitted
    And 3 seconds go by
    Then the small job is shown as "completed" by every node
    When the large job is cancelled
    And 2 seconds go by
    Then the refused job is accepted through another node
    And the workers' record is clean

  Scenario: A repetition of an accepted job is accepted although there is no room
    When a large job is submitted
    Then the large job is accepted when it is sent again

  Scenario: A job that other nodes accepted meanwhile waits in the store
    When a large job is submitted
    And another large job is stored by a node with old figures
    And 3 seconds go by
    Then the parked job is shown as "queued" by every node
    And 1 job is parked, and counted as waiting
    When the large job is cancelled
    And 3 seconds go by
    Then no job is parked
    And the parked job is shown as "running" by every node
    And the workers' record is clean

  Scenario: A parked job is loaded once the store answers again
    When a large job is submitted
    And another large job is stored by a node with old figures
    And 3 seconds go by
    And the large job is cancelled while reads of the jobs fail for 4 seconds
    Then 1 job is parked, and counted as waiting
    When 6 seconds go by
    Then the parked job is shown as "running" by every node

  Scenario: A parked job is cancelled without being loaded
    When a large job is submitted
    And another large job is stored by a node with old figures
    And 3 seconds go by
    And the parked job is cancelled
    And 2 seconds go by
    Then the parked job is shown as "cancelled" by every node
    And no job is parked
    And no task of the parked job was started

  Scenario: A takeover parks what has not started, and goes on with what has
    When a large job is submitted
    And another large job is stored by a node with old figures
    And 3 seconds go by
    And the owner is killed
    And 10 seconds go by
    Then the large job is shown as "running" by every node
    And the parked job is shown as "queued" by every node
    And no task of the parked job was started
    When the parked job is cancelled
    And the owner is killed
    And 10 seconds go by
    Then the parked job is shown as "cancelled" by every node
    And the workers' record is clean

  Scenario: A stored job that no node may hold is failed, and ends no owner
    When a job of 20000 tasks is stored by a node of an earlier version
    And a small job is submitted
    And 3 seconds go by
    Then the parked job is shown as "failed" by every node
    And the small job is shown as "completed" by every node
    And no job is parked

  Scenario: Repetitions that are due at once are opened as there is room
    When a job of 300 repetitions that are all due is submitted
    Then at most 100 of its repetitions are open at any moment
    And the repeated job is shown as "completed" by every node
    And each repetition was started once

  Scenario: A repeated job goes on though there is no room
    When a job of 3 repetitions of 2500 tasks, 4 seconds apart, is submitted
    And jobs of 2000 tasks are submitted until one is refused
    And 40 seconds go by
    Then the repeated job is shown as "completed" by every node
    And each repetition was started once

  Scenario: Cancellations of unknown jobs are refused once there is no room
    When 40000 unknown jobs are cancelled through the owner
    Then the last cancellation is refused, and half of the room is left
    And a job that is accepted can be cancelled

  Scenario: A parked job is shown to its own account only
    When a large job is submitted
    And a large job of the account "north" is stored in the same way
    Then 1 job is parked, and counted as waiting
    And the parked job is shown to "north", and unknown to "south"
