Feature: A task that crashes workers which come back under their ids is given up

  Background:
    Given a job cell of 3 nodes and 9 workers
    And crashed workers begin again under their ids after 3 seconds

  Scenario Outline: A task is given up after two crashes of workers that come back <answered>
    When 4 jobs of 4 tasks of 2 seconds are submitted
    And a job of 4 tasks is submitted whose task 0 <crashes>
    And 40 seconds go by
    Then the job is shown as "failed" by every node
    And task 0 of the job was started 2 times at most
    And the other jobs are shown as "completed"

    Examples:
      | answered   | crashes                        |
      | answered   | crashes its workers            |
      | unanswered | crashes its workers unanswered |

  Scenario: A lone task is given up after two crashes without an answer
    When a job of 1 tasks is submitted whose task 0 crashes its workers unanswered
    And 40 seconds go by
    Then the job is shown as "failed" by every node
    And task 0 of the job was started 2 times at most

  Scenario: Unanswered crashes are counted across a change of the owner
    When a job of 1 tasks is submitted whose task 0 crashes its workers unanswered
    And 1 second goes by
    And the owner is killed
    And 6 seconds go by
    And the owner is killed
    And 40 seconds go by
    Then the job is shown as "failed" by every node
    And task 0 of the job was started 2 times at most

  Scenario Outline: A task that crashes its workers <answered> is given up though each owner is killed soon after its start
    When a job of 1 tasks is submitted whose task 0 <crashes>
    And the owner is killed and started again 0.6 seconds after each start of the job, 7 times at most
    Then the job is shown as "failed" by every node
    And task 0 of the job was started 5 times at most

    Examples:
      | answered          | crashes                        |
      | after its answer  | crashes its workers            |
      | before its answer | crashes its workers unanswered |

  Scenario: A worker that drains when it ends has not crashed
    When 1 jobs of 1 tasks of 6 seconds are submitted
    And each of its workers drains and ends soon after its start, 3 times
    And 30 seconds go by
    Then the other jobs are shown as "completed"
