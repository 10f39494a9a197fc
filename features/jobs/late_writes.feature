Feature: A write that the store applies late doesn't undo what was answered since

  The store may leave a call unanswered and carry it out seconds later.

  Background:
    Given a job cell of 3 nodes and 4 workers

  Scenario: A submission that is stored after its cancellation starts nothing
    When a cancellation of an unknown job is answered "gone"
    And 4 seconds go by
    And the submission of that job is carried out late
    And 5 seconds go by
    Then the job is shown as "cancelled" by every node
    And no task was started

  Scenario: A new owner knows of the cancellation of an unknown job
    When a cancellation of an unknown job is answered "gone"
    And the owner is killed
    And the submission of that job is carried out late
    And 8 seconds go by
    Then the job is shown as "cancelled" by every node
    And no task was started

  Scenario: The same request is accepted as a cancelled job
    When a cancellation of an unknown job is answered "gone"
    And that job is submitted
    And 3 seconds go by
    Then the job is shown as "cancelled" by every node
    And no task was started

  Scenario: A cancellation that may have been stored isn't answered as none
    When a cancellation of an unknown job can't be stored, and is answered "unknown"

  Scenario: A slow store doesn't refuse the cancellation of an unknown job
    When each transaction of the store takes 0.25 seconds
    Then a cancellation of an unknown job is answered "gone" within 0.6 seconds

  Scenario: A cancellation that the store applies late doesn't cancel a later job
    When a cancellation of an unknown job is applied after the job was stored
    And 5 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: A cancellation finds a job that is stored meanwhile
    When a cancellation of an unknown job is answered "kept", as the job is stored first
    And 5 seconds go by
    Then the job is shown as "cancelled" by every node
    And no task was started

  Scenario: Cancellations of unknown jobs expire
    When 300 cancellations of unknown jobs are answered "gone"
    And 200 seconds go by
    Then the store has no cancellations
    And the owner knows no cancellations
    When that job is submitted
    And 3 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: Cancellations for a queue that has no owner expire too
    When 10 cancellations of unknown jobs are answered "gone"
    And the queue of those is removed
    And 380 seconds go by
    Then the store has no cancellations

  Scenario: A cancellation of an unknown job stays while the job is stored
    When a cancellation of an unknown job is answered "gone"
    And that job is submitted
    And 130 seconds go by
    Then the store has no cancellations

  Scenario: A tombstone beside a job stays, and holds up the expiry of no other
    When 300 cancellations of unknown jobs are answered "gone"
    And the last of those jobs is stored for a pool without an owner
    And 210 seconds go by
    Then the store has the cancellation of that job alone

  Scenario: The removal of an expired job leaves a later job of its id
    When a job of the steps "1" is submitted
    And 119 seconds go by
    And its removal is carried out late, after the id is used again
    And 10 seconds go by
    Then the later job is stored
