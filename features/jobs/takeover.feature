Feature: The cost of a takeover doesn't grow with what it needn't look at

  Background:
    Given a job cell of 3 nodes and 126 workers
    And 40 jobs of 10 lasting tasks that run

  Scenario: A new owner goes through the recorded runs once, not for each worker
    When the owner is killed and another recovers the pool
    Then the recorded runs were gone through 5 times at most
    And all runs are charged to their workers

  Scenario: A new owner reckons the pool's room by kinds of workers
    When the owner is killed and another recovers the pool
    Then tasks were fitted into workers 1000 times at most

  Scenario: A new owner logs the jobs that it recovers in one line
    When the owner is killed and another recovers the pool
    Then 0 jobs were logged as taken in
