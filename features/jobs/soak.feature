Feature: Overlapping disruptions of every kind break no promise

  Workers that lose power and begin again, are cut off, fail all or turn slow,
  owners that are killed, queues that move, odd entries, a lost store and lost
  replies come in series that overlap, while jobs come, are repeated and cancelled.

  Scenario Outline: No job is lost or run twice with seed <seed>
    Then the soak of seed <seed> is whole

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
