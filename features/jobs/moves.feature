Feature: A large pool doesn't stay on a small node

  Scenario: A large pool moves once to a large node that has started
    Given a pool of 60 workers that a small node owns while the 2 large ones are dead
    When a job of the steps "40, 40 after 0" of 5 seconds is submitted
    And all large nodes are started again
    And 12 seconds go by
    Then a large node owns the pool after 1 claim
    When 20 seconds go by
    Then a large node owns the pool after 1 claim
    And the job is shown as "completed" by every node
    And each of its tasks was started 1 time at most
    And the workers' record is clean

  Scenario: A small pool stays on its node
    Given a pool of 4 workers that a small node owns while the 2 large ones are dead
    When all large nodes are started again
    And 12 seconds go by
    Then a small node owns the pool after 0 claims

  Scenario: A small node keeps a large pool while no large one answers
    Given a pool of 60 workers that a small node owns while the 2 large ones are dead
    When all large nodes are started again
    And all large nodes are killed
    And 12 seconds go by
    Then a small node owns the pool after 0 claims
