Feature: A job keeps the terms under which it was accepted

  A queue may be out of the configuration while jobs of it wait or run, also when
  their owner is lost.

  Background:
    Given a job cell of 3 nodes and 4 workers

  Scenario: A job goes on with permits though its queue is out while its owner is killed
    Given tasks that need permits
    When a job of the steps "4, 4 after 0" of 4 seconds is submitted
    And 1 second goes by
    And its queue is removed
    And the owner is killed
    And 20 seconds go by
    And its queue is added again
    And 1 second goes by
    Then the job is shown as "completed" by every node
    And no start was refused
    And each task of the job was started once

  Scenario: A task that fails is tried again though its queue is out while its owner is killed
    Given tasks that fail 2 times after 3 seconds
    When a job of the steps "2" of 4 seconds is submitted
    And 1 second goes by
    And its queue is removed
    And the owner is killed
    And 30 seconds go by
    And its queue is added again
    And 1 second goes by
    Then the job is shown as "completed" by every node

  Scenario: A job that an earlier version stored goes on once its queue is back
    Given tasks that need permits
    And jobs are stored as earlier versions did
    When a job of the steps "4, 4 after 0" of 4 seconds is submitted
    And 1 second goes by
    And its queue is removed
    And the owner is killed
    And 10 seconds go by
    And its queue is added again
    And 10 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: A job gets permits though its queue needs none until it is accepted
    Given tasks that need permits
    And its queue needs no permits
    When a job of the steps "4" is submitted
    And 1 second goes by
    And its queue is added again
    And 6 seconds go by
    Then the job is shown as "completed" by every node
