Feature: A takeover does no needless work per worker, run and job

  Background:
    Given a job cell of 3 nodes and 126 workers
    And 40 running jobs of 10 lasting tasks

  Scenario: A new owner scans the recorded runs once, not once per worker
    When the owner is killed and another recovers the pool
    Then the recorded runs were scanned at most 5 times
    And all runs are charged to their workers

  Scenario: A new owner computes the pool's capacity once per kind of worker
    When the owner is killed and another recovers the pool
    Then the fit of tasks in workers was computed at most 1000 times

  Scenario: A new owner logs the jobs that it recovers in one line
    When the owner is killed and another recovers the pool
    Then 0 jobs were logged as added
