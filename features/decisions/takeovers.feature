Feature: The report on takeovers shows how long a pool had no starts

  Scenario: Each claim is a row with its gap, its starts and its lag
    Given the logs of a day
      | at   | node | message                                                       |
      | -9.0 | n1   | slice claimed pool=p token=5 former=none after_ms=9           |
      | -8.9 | n1   | slice recovered pool=p token=5 open=0 closed=0 runs=0         |
      | 1.0  | n1   | run started task=00aa.0.0.0 run=1 worker=w1 after_ms=9        |
      | 2.0  | n1   | run started task=00aa.0.0.1 run=1 worker=w1 after_ms=9        |
      | 2.5  | n1   | no reply to start order task=00aa.0.0.2: no reply in 0.25 s   |
      | 2.6  | n1   | owner lags pool=p lag_ms=140 round_ms=3 waiting=9             |
      | 5.0  | n2   | slice claimed pool=p token=9 former=n1 after_ms=9             |
      | 5.5  | n2   | slice recovered pool=p token=9 open=1 closed=0 runs=2         |
      | 6.0  | n2   | run started task=00aa.0.0.2 run=2 worker=w1 after_ms=9        |
      | 6.1  | n1   | job closed job=00aa state=completed                           |
    Then the report on takeovers has these rows
      | pool | at | by | idle | read | first | starts | unanswered | lag |
      | p    | -9 | n1 | -    | 0.1  | 10    | 2      | 1          | 140 |
      | p    | 5  | n2 | 3    | 0.5  | 1     | 1      | 0          | 0   |
