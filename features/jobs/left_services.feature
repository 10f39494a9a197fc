Feature: Accepted jobs of a pool that the configuration no longer names

  Its slice keeps an owner until all of its jobs have ended and expired.

  Background:
    Given a job cell of 3 nodes and 4 workers
    And another pool "annex" with 4 workers

  Scenario: The jobs of a pool that has left end after their owner was killed
    When a job of the steps "4, 4 after 0" of 4 seconds is submitted
    And 1 second goes by
    And its queue moves to "annex", and its former pool leaves
    And the owner is killed
    And 25 seconds go by
    Then the job is shown as "completed" by every node
    And each task of the job was started once
    And the workers' record is clean

  Scenario: A job of a pool that has left is cancelled after its owner was killed
    When a job of the steps "4" of 60 seconds is submitted
    And 1 second goes by
    And its queue moves to "annex", and its former pool leaves
    And the owner is killed
    And 8 seconds go by
    Then the job is shown as "running" by every node
    When the job is cancelled
    And 3 seconds go by
    Then the job is shown as "cancelled" by every node
    And none of its tasks run

  Scenario: The jobs of a pool that has left end after all nodes were restarted in an outage
    When a job of the steps "4, 4 after 0" of 4 seconds is submitted
    And 1 second goes by
    And its queue moves to "annex", and its former pool leaves
    And the store goes down, and all nodes are started again
    And 8 seconds go by
    And the store is back
    And 40 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: The jobs of a pool that has left go on when it returns
    Given no worker of the first pool is listed
    When a job of the steps "4" is submitted
    And 1 second goes by
    And its queue moves to "annex", and its former pool leaves
    And the owner is killed
    And 8 seconds go by
    Then the job is shown as "queued" by every node
    When its former pool returns with a worker
    And 15 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: A pool that has left costs nothing once its jobs have expired
    When a job of the steps "4" is submitted
    And 5 seconds go by
    And its queue moves to "annex", and its former pool leaves
    And 100 seconds go by
    Then the first pool has an owner
    When 150 seconds go by
    Then the first pool has no owner
    And no node finds a pool without owner
    And nothing is written of the first pool within 20 seconds
    When its former pool returns with a worker
    And 5 seconds go by
    Then the first pool has an owner

  Scenario: A job that is stored for a pool without an owner gets one
    When its queue moves to "annex", and its former pool leaves
    And 100 seconds go by
    Then the first pool has no owner
    When a job of the steps "4" is submitted
    And 10 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: Pools that come and go leave no owners behind
    When 40 pools are added
    And 5 seconds go by
    Then there are 42 owners
    When they leave again
    And 100 seconds go by
    Then there are 2 owners
