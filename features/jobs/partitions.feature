Feature: An owner that is partitioned with some of its workers runs no task twice

  Background:
    Given a job cell of 3 nodes and 6 workers

  Scenario: A partitioned owner lets the leases of its island's workers end
    Given a running job of 30 tasks of 30 seconds
    When the owner and 2 workers are partitioned from all others for 16 seconds
    And 90 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: Tasks go on with a partitioned owner that reaches most workers
    Given a running job of 30 tasks of 30 seconds
    When the owner and 4 workers are partitioned from all others for 16 seconds
    And 60 seconds go by
    Then the job is shown as "completed" by every node
    And each of its tasks was started 1 time at most
    And the workers' record is clean

  Scenario: A successor of a successor starts no task of a partitioned owner's workers
    Given a running job of 30 tasks of 60 seconds
    When the owner and 4 workers are partitioned from all others for 32 seconds
    And the store forgets the entries of these workers after 4 seconds
    And the successor is killed after 12 seconds
    And 120 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: A worker that begins again doesn't vouch for a partitioned owner
    Given a running job of 30 tasks of 30 seconds
    When the owner and 3 workers are partitioned from all others for 24 seconds
    And a worker that the successor has reached begins again on the island
    And 90 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: Of two workers, the one that a partitioned owner reaches stops
    Given a job cell of 3 nodes and 2 workers
    And a running job of 8 tasks of 30 seconds
    When the owner and 1 worker are partitioned from all others for 20 seconds
    And 90 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: The tasks of lost workers start again although most workers were lost
    Given a running job of 12 tasks of 60 seconds
    When the owner is killed and 4 workers are lost for good
    And 120 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: A partitioned owner with most workers stops before its successor takes their leases for ended
    Given a running job of 30 tasks of 90 seconds
    When the owner and 4 workers are partitioned from all others for 60 seconds
    And 200 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: Tasks outlast an outage of the store that takes longer than their leases
    Given a running job of 30 tasks of 24 seconds
    When the store answers nobody for 20 seconds
    And 30 seconds go by
    Then the job is shown as "completed" by every node
    And each of its tasks was started 1 time at most
    And the workers' record is clean

  Scenario: The log tells for how long an owner is unconfirmed, and which workers answer it
    Given the log about claims is recorded
    When the owner and 2 workers are partitioned from all others for 10 seconds
    And 8 seconds go by
    Then a line says that the claim is unconfirmed while w0,w1 answer

  Scenario: A new owner that is partitioned while it recovers lets leases end
    Given a running job of 30 tasks of 60 seconds
    When the store doesn't answer for the rows of jobs
    And the owner is killed
    And 6 seconds go by
    And the owner and 2 workers are partitioned from all others for 30 seconds
    And the store answers for all rows
    And 150 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: An owner that was suspended starts a task with the lease that it may still give
    Given a running job of 2 tasks of 30 seconds
    When the owner's machine was suspended for 5 seconds and a task is started at once
    Then the task's worker has a lease for less than 4 seconds

  Scenario: A new owner gives up a slice whose voters it has read from a later one
    When another node claims the slice just after the next owner
    And the owner is killed
    And 4 seconds go by
    Then a node has given the slice up
