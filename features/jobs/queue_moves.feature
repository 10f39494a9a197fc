Feature: A job stays one job while the configuration moves its queue

  A queue is removed from the configuration and added again with another pool,
  while a job of it runs. Its id and its state don't depend on the pool that the
  queue has at the moment.

  Background:
    Given a job cell of 3 nodes and 4 workers
    And another pool "annex" with 4 workers

  Scenario: A job whose queue has moved to another pool is still shown
    When a job of the steps "4, 4 after 0" of 6 seconds is submitted
    And 1 second goes by
    And its queue is removed, and added again with the pool "annex"
    Then the job is shown as "running" by every node
    When 20 seconds go by
    Then the job is shown as "completed" by every node
    And each task of the job was started once

  Scenario: A request that is repeated after its queue has moved starts nothing twice
    When a job of the steps "4" of 6 seconds is submitted
    And 1 second goes by
    And its queue is removed, and added again with the pool "annex"
    And the same request arrives again at every node
    And 20 seconds go by
    Then the job is shown as "completed" by every node
    And each task of the job was started once
    And the workers' record is clean

  Scenario: A request that is repeated after its job has ended and its queue has moved starts nothing
    When a job of the steps "4" of 1 seconds is submitted
    And 4 seconds go by
    And its queue is removed, and added again with the pool "annex"
    And the same request arrives again at every node
    And 5 seconds go by
    Then the job is shown as "completed" by every node
    And each task of the job was started once

  Scenario: A job whose queue has moved is cancelled
    When a job of the steps "4" of 30 seconds is submitted
    And 1 second goes by
    And its queue is removed, and added again with the pool "annex"
    And the job is cancelled
    And 3 seconds go by
    Then the job is shown as "cancelled" by every node
    And none of its tasks run

  Scenario: A job that waits for the former pool of its queue is counted as waiting
    Given no worker of the first pool is listed
    When a job of the steps "4" is submitted
    And 1 second goes by
    And its queue is removed, and added again with the pool "annex"
    Then every node counts 1 waiting job of the queue

  Scenario: A new owner of the former pool goes on with the job
    When a job of the steps "4, 4 after 0" of 4 seconds is submitted
    And 1 second goes by
    And its queue is removed, and added again with the pool "annex"
    And the owner is killed
    And 25 seconds go by
    Then the job is shown as "completed" by every node
    And each task of the job was started once

  Scenario: Jobs of a former pool whose owner recovers are not counted as none
    Given no worker of the first pool is listed
    When a job of the steps "4" is submitted
    And 1 second goes by
    And its queue is removed, and added again with the pool "annex"
    And 20 seconds go by
    And the jobs of the first pool can't be read, and its owner is killed
    Then for 6 seconds no node counts fewer than 1 waiting job of the queue
    When the jobs can be read again
    And 4 seconds go by
    Then every node counts 1 waiting job of the queue

  Scenario: Jobs of a former pool whose lease isn't read yet are not counted as none
    Given no worker of the first pool is listed
    When a job of the steps "4" is submitted
    And 1 second goes by
    And its queue is removed, and added again with the pool "annex"
    And 20 seconds go by
    And the lease of the first pool can't be read, and all nodes are replaced
    Then for 6 seconds no node counts fewer than 1 waiting job of the queue
    When the lease can be read again
    And 6 seconds go by
    Then every node counts 1 waiting job of the queue

  Scenario: A pool that has no jobs of a queue doesn't make its count unknown
    When 20 seconds go by
    And the jobs of the pool "annex" can't be read, and its owner is killed
    Then for 6 seconds every node counts 0 waiting jobs of the queue
