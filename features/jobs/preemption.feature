Feature: Runs that can wait are stopped for urgent work that can't

  Scenario: An urgent burst gets capacity that checkpointing batch work holds
    Given a pool of 8 workers that checkpointing batch work fills
    When 4 urgent jobs of 8 short tasks arrive
    And 2 seconds go by
    Then the urgent jobs are completed
    And some batch runs were preempted, each once
    And all batch jobs complete with no failure counted

  Scenario Outline: Nothing is preempted <case>
    Given a pool of 8 workers, <case>
    When 4 urgent jobs of 8 short tasks arrive
    And 3 seconds go by
    Then no batch run was preempted

    Examples:
      | case                                         |
      | while capacity is free                       |
      | whose batch work stores no checkpoints       |
      | whose batch jobs have no time to spare       |
      | whose batch work is a gang                   |
      | while urgent jobs are beyond their rate      |

  Scenario: The same run isn't preempted again and again by a lasting burst
    Given a pool of 8 workers that checkpointing batch work fills
    When 2 urgent jobs of 8 short tasks arrive each second for 25 seconds
    Then no batch task was preempted more than twice or twice in 5 seconds
    And all batch jobs complete with no failure counted

  Scenario: Runs whose stop is ignored aren't replaced by ever more stops
    Given a pool of 8 workers that checkpointing batch work fills
    And workers ignore stops
    When 4 urgent jobs of 8 short tasks arrive
    And 2 seconds go by
    Then at most half as many runs were preempted as there are urgent tasks
    And all batch jobs complete with no failure counted
    And the urgent jobs are completed

  Scenario: A new owner goes on with what was preempted just before
    Given a pool of 8 workers that checkpointing batch work fills
    When 4 urgent jobs of 8 short tasks arrive
    And the owner is killed once it has preempted
    And 7 seconds go by
    Then the new owner knows that runs were preempted
    And the urgent jobs are completed
    And all batch jobs complete with no failure counted
