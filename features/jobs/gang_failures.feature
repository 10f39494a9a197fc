Feature: A gang fails once with each run, however many of its members fail

  Scenario: A gang of which two members fail in each run is tried as often as its queue says
    Given a job cell of 3 nodes and 8 workers
    When a gang of 4 tasks is submitted whose members all fail 2 times
    And 12 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: A gang whose runs fail as often as its queue allows is shown as failed
    Given a job cell of 3 nodes and 8 workers
    When a gang of 4 tasks is submitted whose members all fail 3 times
    And 12 seconds go by
    Then the job is shown as "failed" by every node
    And each of its tasks was started 3 times at most
