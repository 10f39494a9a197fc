Feature: Very many open steps neither block the event loop nor other jobs

  Background:
    Given a job cell of 1 nodes and 4 workers
    And the queue needs no permits
    And 2600 steps are open that no worker may run

  Scenario: A round considers a bounded number of steps
    Then no round of the next 3 seconds considers more than 2000 steps

  Scenario: A job behind all of them starts nevertheless
    When a job that may start later than these is submitted
    And 4 seconds go by
    Then the job is shown as "completed" by every node
