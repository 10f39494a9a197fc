Feature: A lost order to pace a task is repeated until it is acknowledged or void

  Scenario: A pace whose order was lost is ordered again
    Given a best-effort task beside a serving task
    And the next 2 orders to pace a task are lost
    When the serving task gets near its target and stays below it
    And 5 seconds go by
    Then the best-effort task has the pace that its owner wants
    And 3 orders to pace a task were sent

  Scenario: A lost order to pace a task isn't repeated once its run is stopped
    Given a best-effort task beside a serving task
    And the next 1000 orders to pace a task are lost
    When the serving task gets near its target and stays below it
    And the best-effort job is cancelled
    And 2 seconds go by
    Then no order to pace a task is sent within 5 seconds

  Scenario: Of two paces the later one is in force although the earlier one was lost
    Given a best-effort task beside a serving task
    And the next 3 orders to pace a task are lost
    When the serving task stays near its target for 3 seconds
    And 5 seconds go by
    Then the best-effort task has the pace that its owner wants
