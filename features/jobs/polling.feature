Feature: Polls of the workers of a large pool stay within what an owner can handle

  Background:
    Given a job cell of 3 nodes and 126 workers

  Scenario: An unanswered start doesn't multiply the polls of all workers
    Given the first worker leaves its starts unanswered
    When a job of the steps "126" of 5 seconds is submitted
    And 2 seconds go by
    Then the last second had 130 polls at most

  Scenario: Polls of workers that were contacted together are spread out
    When 3 seconds go by
    Then no 0.1 seconds of the last second had over 30 polls

  Scenario: A new owner doesn't contact all workers at once
    When the owner is killed
    And 5 seconds go by
    Then 16 first polls at most were in progress at the same time

  Scenario: A stopped run that its worker never started is given up in a large pool
    Given the first worker leaves its starts unanswered
    When a job that only the first worker may run is submitted
    And 7 seconds go by
    Then the job is shown as "completed" by every node
