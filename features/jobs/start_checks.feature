Feature: A start is checked again before it is sent

  Scenario Outline: A start isn't sent to a worker that <change> while it is stored
    Given a job cell of 1 nodes and 1 workers
    And the journal takes 0.5 seconds, in which the worker <change>
    When a job of one task of 4 cores is submitted
    And 2 seconds go by
    Then nothing was started
    When an idle worker is added
    And 5 seconds go by
    Then the task was started on the idle worker alone
    And the job is shown as "completed" by every node

    Examples:
      | change  |
      | drains  |
      | shrinks |

  Scenario Outline: An unanswered start isn't repeated on a worker that <change>
    Given a job cell of 1 nodes and 1 workers
    And the journal takes 0 seconds, in which the worker <change>
    And 1 starts are carried out late by every worker
    When a job of one task of 4 cores is submitted
    And 2 seconds go by
    Then nothing was started
    When an idle worker is added
    And 7 seconds go by
    Then the task was started on the idle worker alone
    And the job is shown as "completed" by every node

    Examples:
      | change  |
      | drains  |
      | shrinks |

  Scenario: A gang isn't started on workers of which one drains while it is stored
    Given a job cell of 1 nodes and 2 workers
    And the journal takes 0.5 seconds, in which the worker drains
    When a gang of 3 tasks is submitted
    And 2 seconds go by
    Then the worker that drains got no start
    When an idle worker is added
    And 9 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: A best-effort task isn't placed again and again on a worker that has shrunk below its runs
    Given a job cell of 1 nodes and 4 workers
    When the workers of the first rack each run a task of 12 cores and shrink to 8
    And a best-effort task whose data is in that rack is submitted
    And 3 seconds go by
    Then the best-effort task was placed once, on the worker of the other rack
