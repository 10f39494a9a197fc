Feature: Accounts that send far more than usual delay others as little as possible

  Scenario: A flood of some accounts costs the others little
    Given a quarter of the usual pool and a day on which 4 of 20 accounts send 6 times their usual
    When the day is played
    Then the other accounts get at least 0.72 of what they wanted
    And the worst served account that sent its usual gets at least 0.5

  Scenario: A day without a flood is served
    Given a quarter of the usual pool and a day on which 0 of 20 accounts send 1 times their usual
    When the day is played
    Then the other accounts get at least 0.75 of what they wanted

  Scenario: A worthless job comes after all that is worth something, also when urgent
    Given an urgent job that is worth nothing any more
    And a batch job that is late, and a batch job that is beyond its account's rate
    Then the worthless one comes last of them

  Scenario: A lasting task never becomes worthless
    Given an urgent lasting task that has waited for an hour
    Then it comes before a batch job in time

  Scenario: Among jobs that are worth the same, the ones within the rate come first
    Given two urgent jobs in time, the sooner one beyond its account's rate
    Then the one within the rate comes first
    And of two beyond the rate the one whose account runs less comes first

  Scenario: An account's rate is its weight, with a burst of two seconds
    Given rates of accounts "a" of weight 3 and "b" of weight 0.1
    When account "a" sends 20 jobs at 0 seconds
    Then 6 of them are within its rate
    When account "a" sends 20 jobs at 1 seconds
    Then 3 of them are within its rate
    When account "a" sends 20 jobs at 100 seconds
    Then 6 of them are within its rate
    When account "b" sends 2 jobs at 100 seconds
    Then 1 of them are within its rate

  Scenario: Jobs of no account and of one that was removed have no rate
    Given rates of accounts "a" of weight 3 and "b" of weight 0.1
    When account "" sends 99 jobs at 0 seconds
    Then 99 of them are within its rate
    When account "removed" sends 99 jobs at 0 seconds
    Then 99 of them are within its rate

  Scenario: Jobs that arrive out of order neither fill a rate nor empty it
    Given rates of accounts "a" of weight 3 and "b" of weight 0.1
    When account "a" sends 20 jobs at 10 seconds
    And account "a" sends 20 jobs at 5 seconds
    Then 0 of them are within its rate
    When account "a" sends 20 jobs at 11 seconds
    Then 3 of them are within its rate

  Scenario: A round costs no more with 200 accounts than with 20
    Given days of 20 and of 200 accounts
    When rounds of both are counted from second 8 to 9
    Then those with more accounts make 1.1 times the calls a waiting step at most
