Feature: A store that answers for some rows only

  Background:
    Given a job cell of 3 nodes and 4 workers

  Scenario: Nodes that start while leases can not be read claim once they can
    Given the store leaves the rows of the pool unanswered
    When every node is restarted
    And 3 seconds go by
    And the store answers for all rows
    And 4 seconds go by
    Then some node owns the pool
    When a job of the steps "2" is submitted
    And 3 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: A pool whose lease can not be read holds up no other pool
    Given a second pool "stage"
    And the store leaves the rows of the pool unanswered
    When every node is restarted
    And 1 second goes by
    Then some node owns the pool "stage"

  Scenario: A lease that can not be read holds up no pool once history is lost
    Given a second pool "stage"
    And the store leaves the rows of the pool unanswered
    When every node is restarted
    And 2 seconds go by
    Then some node owns the pool "stage"
    When the owner of "stage" is killed
    And every node loses the history of the store
    And 4 seconds go by
    Then some node owns the pool "stage"

  Scenario: Nodes that start while the empty part is unanswered claim at once
    Given the store leaves the rows of no pool unanswered
    When every node is restarted
    And 1 second goes by
    Then some node owns the pool

  Scenario: A claim succeeds although the node has missed a change of the lease
    When the owner is killed
    And every node has missed the last change of the lease
    And 8 seconds go by
    Then some node owns the pool

  Scenario: A node that has read no lease never says that no job waits
    Given the store leaves the rows of the pool unanswered
    When every node is restarted
    And 3 seconds go by
    Then the first node can not tell how many jobs wait

  Scenario: A count that a dead owner has left is not told as that of today
    Given the store leaves the rows of the pool unanswered
    When the owner is killed
    And 4 seconds go by
    Then the first node can not tell how many jobs wait

  Scenario: A successor that still recovers does not renew its predecessor's count
    When the owner is killed
    And the store leaves the jobs unanswered
    And 6 seconds go by
    Then some node owns the pool
    And the first node can not tell how many jobs wait

  Scenario: A node that the store turns away learns from the owner what waits
    Given the store turns the last node away
    When a job of the steps "2" waits for permits
    And 4 seconds go by
    Then the last node tells that 1 job waits

  Scenario: A job whose row can not be removed does not run again
    When a job of the steps "2" is submitted
    And 3 seconds go by
    And the store leaves the jobs unanswered
    And 140 seconds go by
    And the owner is killed
    And the store answers for all rows
    And 8 seconds go by
    Then each of its tasks was started 1 time at most

  Scenario: A job is not refused for want of a worker that a takeover misses
    Given a larger worker whose entry has lapsed
    Then a job that needs the larger worker is kept
    When the owner is killed
    And 4 seconds go by
    Then some node owns the pool
    And a job that needs the larger worker is kept

  Scenario: Runs are not given up before the list of workers is read
    Given the list of workers can't be read
    When a job of the steps "4" of 5 seconds is submitted
    And 0.5 seconds go by
    And the owner is killed
    And 12 seconds go by
    Then its runs are not given up
    When the list of workers can be read
    And 3 seconds go by
    Then the job is shown as "completed" by every node
    And each of its tasks was started 1 time at most

  Scenario: A pool of many unlike workers refuses nothing that one could hold
    Given 70 workers that differ, the last one larger
    Then a job that needs the larger worker is kept

  Scenario: A node that leaves hands a pool over though another is unanswered
    Given a second pool "stage"
    And one node owns both pools
    And the store leaves the rows of the pool unanswered
    When the owner leaves
    And 0.5 seconds go by
    Then another node owns the pool "stage"

  Scenario: A job is taken in after lost history though others are unanswered
    Given the store leaves the jobs of the first digit unanswered
    When every node loses the history of the store
    And a node keeps a job and dies
    And 4 seconds go by
    Then the job is shown as "completed" by every node

  Scenario: A job whose starts are refused still counts as waiting
    Given every worker refuses the first job
    When a job of the steps "2" is submitted
    And 3 seconds go by
    Then the last node tells that 1 job waits
    When the owner is killed
    And 5 seconds go by
    Then the last node tells that 1 job waits

  Scenario: What runs outlives a recovery that waits for the jobs' rows
    When a job of the steps "4" of 12 seconds is submitted
    And 1 second goes by
    And the owner is killed
    And the store leaves the jobs unanswered
    And 9 seconds go by
    And the store answers for all rows
    And 20 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean
    And each of its tasks was started 1 time at most

  Scenario Outline: Runs held during a recovery never start beside themselves
    When a job of the steps "4" of 14 seconds is submitted
    And 1 second goes by
    And the owner is killed
    And the store leaves the jobs unanswered
    And 8 seconds go by
    And <trouble>
    And 1 second goes by
    And the store answers for all rows
    And 40 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

    Examples:
      | trouble                                            |
      | every worker but one falls silent                  |
      | every worker but one falls silent and off the list |
