Feature: Rounds leave an owner time for its exchanges

  Scenario: A round's work grows no faster than the workers and the jobs
    Given full pools of 126 workers with 200 jobs and 252 workers with 400
    When 10 rounds of each are counted after 5 others
    Then the larger one makes 2.5 times the calls at most
    And each waiting step costs 500 calls at most

  Scenario: A round that finds room by its index finds what a search finds
    Given a full pool of 40 workers and 60 jobs
    When 40 rounds are played
    Then the index of free rooms finds the same workers as a search

  Scenario: Jobs that wait for permits alone cost a round next to nothing
    Given a free pool of 126 workers and 300 jobs whose permits are asked for
    When one round is counted
    Then it makes 100 calls for each job at most

  Scenario: Rounds that are dear leave three quarters of the loop to others
    Given a job cell of 1 nodes and 4 workers
    And each round takes 0.02 seconds
    When jobs of 20 tasks come for 2 seconds
    Then rounds took a quarter of that time at most

  Scenario: A burst of tasks is not started faster than workers can answer
    Given a job cell of 1 nodes and 20 workers
    When a job of 400 small tasks is submitted and watched to its end
    Then at most 64 starts were under way at a time

  Scenario: A step whose starts must wait asks for no permits anew
    Given a full pool of 40 workers and 20 jobs
    When 1 rounds are played
    And a round may start nothing
    Then no step with fresh permits wishes for others

  Scenario: Silent workers hold up no starts elsewhere
    Given a job cell of 1 nodes and 20 workers
    When the first 15 workers fall silent
    And jobs of 200 tasks come for 2 seconds
    Then 60 tasks have begun

  Scenario: An owner that lags starts less at a time, until it doesn't
    Given a job cell of 1 nodes and 20 workers
    And each round takes 0.1 seconds
    And 2 seconds go by
    When a job of 200 small tasks is submitted and watched to its end
    Then at most 16 starts were under way at a time
    When rounds take no time for 3 seconds
    And a job of 400 small tasks is submitted and watched to its end
    Then at most 64 starts were under way at a time
    And at least 32 starts were under way at a time

  Scenario: An owner whose loop lags says so in its log and its metrics
    Given a job cell of 1 nodes and 4 workers
    And an HTTP frontend on its first node
    And each round takes 0.3 seconds
    When the log is read for 3 seconds
    Then it has 1 to 4 lines "owner lags pool=booking lag_ms=3"
    And the metrics show a lag of the loop of 0.3 seconds at least
