Feature: Scheduling rounds leave an owner's event loop time for communication

  Scenario: A round's cost grows no faster than the number of workers and jobs
    Given full pools of 126 workers with 200 jobs and 252 workers with 400
    When 10 rounds of each are counted after 5 others
    Then the larger pool makes 2.5 times the calls at most
    And each waiting step costs 500 calls at most

  Scenario: The capacity index finds the same workers as a full search
    Given a full pool of 40 workers and 60 jobs
    When 40 rounds are played
    Then the capacity index finds the same workers as a full search

  Scenario: Jobs that only wait for permits cost a round very little
    Given an empty pool of 126 workers and 300 jobs whose permits are already requested
    When one round is counted
    Then it makes 100 calls for each job at most

  Scenario: Expensive rounds leave three quarters of the loop time to other work
    Given a job cell of 1 nodes and 4 workers
    And each round takes 0.02 seconds
    When jobs of 20 tasks are submitted for 2 seconds
    Then rounds took a quarter of the event loop time at most

  Scenario: A burst of tasks is not started faster than workers can answer
    Given a job cell of 1 nodes and 20 workers
    When a job of 400 small tasks is submitted and watched to its end
    Then at most 64 starts were in flight at a time

  Scenario: A step whose starts must wait doesn't request its permits again
    Given a full pool of 40 workers and 20 jobs
    When 1 rounds are played
    And a round may start no tasks
    Then no step with valid permits requests others

  Scenario: Workers that don't answer delay no starts on other workers
    Given a job cell of 1 nodes and 20 workers
    When the first 15 workers stop answering
    And jobs of 200 tasks are submitted for 2 seconds
    Then 60 tasks have started

  Scenario: An owner whose loop lags starts fewer tasks at a time until the lag ends
    Given a job cell of 1 nodes and 20 workers
    And each round takes 0.1 seconds
    And 2 seconds go by
    When a job of 200 small tasks is submitted and watched to its end
    Then at most 16 starts were in flight at a time
    When rounds take no time for 3 seconds
    And a job of 400 small tasks is submitted and watched to its end
    Then at most 64 starts were in flight at a time
    And at least 32 starts were in flight at a time

  Scenario: Event loop lag shows in the log and in the metrics
    Given a job cell of 1 nodes and 4 workers
    And a callers' front on its first node
    And each round takes 0.3 seconds
    When the log is read for 3 seconds
    Then it has 1 to 4 lines "owner lags pool=booking lag_ms=3"
    And the metrics show an event loop lag of 0.3 seconds at least
