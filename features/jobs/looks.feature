Feature: Looks at the workers of a large pool stay within what an owner bears

  Background:
    Given a job cell of 3 nodes and 126 workers

  Scenario: An unanswered start doesn't multiply the looks at all workers
    Given the first worker leaves its starts unanswered
    When a job of the steps "126" of 5 seconds is submitted
    And 2 seconds go by
    Then the looks of the last second were 130 at most

  Scenario: Looks at workers that were met at once don't fall together
    When 3 seconds go by
    Then no 0.1 seconds of the last second saw over 30 looks

  Scenario: A new owner doesn't meet all workers at once
    When the owner is killed
    And 5 seconds go by
    Then 16 first looks at most were under way together

  Scenario: A stopped run that its worker never began is given up in a large pool
    Given the first worker leaves its starts unanswered
    When a job that only the first worker may run is submitted
    And 7 seconds go by
    Then the job is shown as "completed" by every node
