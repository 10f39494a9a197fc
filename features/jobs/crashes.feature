Feature: A task that crashes its workers takes down few of them

  Background:
    Given a job cell of 3 nodes and 9 workers
    And crashed workers are replaced after 3.5 seconds

  Scenario: A task that crashes each worker that starts it is given up after two crashes
    When a job of 4 tasks is submitted whose task 0 crashes its workers
    And 20 seconds go by
    Then the job is shown as "failed" by every node
    And task 0 of the job was started 2 times at most

  Scenario: A task whose start isn't answered before the crash is given up too
    When a job of 4 tasks is submitted whose task 0 crashes its workers unanswered
    And 40 seconds go by
    Then the job is shown as "failed" by every node
    And task 0 of the job was started 2 times at most

  Scenario: A member of a gang that crashes its workers is given up with the gang
    When a gang of 3 tasks is submitted whose task 1 crashes its workers
    And 30 seconds go by
    Then the job is shown as "failed" by every node
    And task 1 of the job was started 5 times at most

  Scenario: Crashes are counted across a change of the owner
    When a job of 4 tasks is submitted whose task 0 crashes its workers
    And 1 second goes by
    And the owner is killed
    And 6 seconds go by
    And the owner is killed
    And 30 seconds go by
    Then the job is shown as "failed" by every node
    And task 0 of the job was started 5 times at most

  Scenario Outline: A task that crashes its workers <answered> is given up though each owner is killed soon after its start
    When a job of 1 tasks is submitted whose task 0 <crashes>
    And the owner is killed and started again 0.6 seconds after each start of the job, 7 times at most
    Then the job is shown as "failed" by every node
    And task 0 of the job was started 5 times at most

    Examples:
      | answered          | crashes                        |
      | after its answer  | crashes its workers            |
      | before its answer | crashes its workers unanswered |

  Scenario: Tasks that ran beside the one that crashes their workers complete
    When 12 jobs of 4 tasks of 2 seconds are submitted
    And a job of 4 tasks is submitted whose task 0 crashes its workers
    And 12 jobs of 4 tasks of 2 seconds are submitted
    And 30 seconds go by
    Then the job is shown as "failed" by every node
    And the other jobs are shown as "completed"
    And the workers' record is clean

  Scenario: A lasting task whose workers crash for other reasons is never given up
    When a job of long-running tasks is submitted
    And the first worker that runs a task crashes each 14 seconds, 6 times
    Then the job is shown as "running" by every node
    And all of its tasks run
