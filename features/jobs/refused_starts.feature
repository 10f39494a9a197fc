Feature: A start that workers refuse is not repeated at once

  A refusal may last, so the starts of a step slow down until one succeeds.

  Background:
    Given a job cell of 3 nodes and 4 workers

  Scenario: Starts that every worker refuses are repeated twice a second at most
    Given tasks that every worker refuses
    When a job of the steps "8" is submitted
    And 2 seconds go by
    And refused starts are counted for 10 seconds
    Then 20 starts at most were refused

  Scenario: Starts without permits that every worker refuses are repeated as rarely
    Given tasks that every worker refuses
    And its queue needs no permits
    When a job of the steps "8" is submitted
    And 2 seconds go by
    And refused starts are counted for 10 seconds
    Then 20 starts at most were refused

  Scenario: A gang that every worker refuses is started twice a second at most
    Given tasks that every worker refuses
    When a gang of 4 tasks is submitted
    And 2 seconds go by
    And refused starts are counted for 10 seconds
    Then 80 starts at most were refused

  Scenario: Tasks that one worker refuses run on the others
    Given tasks that the first worker refuses
    When a job of the steps "40" of 0.5 seconds is submitted
    And 4 seconds go by
    Then the job is shown as "completed" by every node
    # 16 fit on a worker at once, and 2 a second follow.
    And 24 starts at most were refused

  Scenario: Tasks run once workers no longer refuse them
    Given tasks that every worker refuses
    When a job of the steps "4" is submitted
    And 10 seconds go by
    And no worker refuses its tasks any more
    And 3 seconds go by
    Then each task of the job was started once
