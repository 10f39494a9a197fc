Feature: A job that would end too late behind the backlog is refused before it is stored

  Scenario: Admission control halves what is accepted and then worth nothing
    Given a quarter of the usual pool and a day on which 4 of 20 accounts send 6 times their usual
    When the day is played with and without admission control
    Then 0.8 times as many jobs as without are accepted and end worthless, at most
    And the other accounts get at least 0.95 times what they get without

  Scenario: A day with a short burst and no accounts is served as before
    Given a quarter of the usual pool and a day on which 0 of 20 accounts send 1 times their usual
    When the day is played without accounts
    Then no job is refused

  Scenario Outline: A job that would wait <wait> seconds is <answer>
    Given an overloaded pool in which new jobs wait <wait> seconds
    Then a job worth something for 9 seconds is <answer>

    Examples:
      | wait | answer   |
      | 0    | accepted |
      | 8    | accepted |
      | 16   | accepted |
      | 18   | refused  |

  Scenario: Nothing is refused without figures, without overload or without an objective
    Given an overloaded pool in which new jobs wait 99 seconds
    Then nothing is refused without figures, or in a pool that isn't overloaded
    And lasting jobs, jobs with due times and jobs of earlier versions are accepted

  Scenario: Accounts far beyond their rate are served a share, by the ids of their jobs
    Given an overloaded pool that accepts 0.3 of the jobs of accounts far beyond their rate
    Then it accepts 0.25 to 0.35 of the jobs of such an account
    And it accepts all jobs of another account

  Scenario: Refused callers come back when the backlog is cleared, not all at once
    Given an overloaded pool whose backlog takes 4.5 seconds
    Then refused callers come back after 5 to 9 whole seconds, spread evenly
    And without figures they come back after a second

  Scenario: Leases of earlier versions have no figures
    Then a lease without figures is read, and its pool refuses nothing
    And the figures of 4 queues and 20 accounts take 600 bytes at most

  Scenario: An account that sends its usual in clusters isn't far beyond its rate
    Given rates of accounts "a" of weight 3 and "b" of weight 0.1
    When account "a" sends 12 jobs at 0 seconds
    Then no account is far beyond its rate at 0 seconds
    When account "a" sends 40 jobs at 1 seconds
    Then account "a" is far beyond its rate at 1 seconds
    And no account is far beyond its rate at 30 seconds

  Scenario: A pool that isn't busy is never overloaded, whatever waits in it
    Given an idle pool in which a job of a thousand tasks waits and small ones start
    When its owner measures for 20 seconds
    Then the pool isn't overloaded
    When half of its capacity and more is in use
    Then the pool is overloaded
