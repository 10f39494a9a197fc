Feature: The report on a day's logs shows where jobs lost time

  Scenario: Waits, work, repeated starts and causes are counted separately
    Given the logs of a day
      | at  | message                                                                         |
      | 1.0 | submit job=00aa queue=q outcome=kept version=3 after_ms=12                      |
      | 1.5 | permits step=00aa.0.0 lane=own named=3 good=2 after_ms=20                       |
      | 2.0 | run started task=00aa.0.0.0 run=1 worker=w1 after_ms=9                          |
      | 2.5 | run lost task=00aa.0.0.0 run=1 worker=w1 why=its worker lacks it                |
      | 3.0 | run started task=00aa.0.0.0 run=2 worker=w2 after_ms=9                          |
      | 4.0 | job closed job=00aa state=completed                                             |
      | 4.5 | submit job=00bb queue=q outcome=refused version=3 after_ms=2                    |
    When a line of another program is added
    Then queue "q" has 1 job that waited 0.5 s for a permit and 0.5 s for a worker
    And it worked 2.0 s with 2.0 starts a task
    And the cause "run lost: its worker lacks it" counts 1
    And the cause "answered: refused" counts 1
