# Guards against failing a job whose workers left as planned while no owner watched.
Feature: A worker that left as planned while nobody watched it has not crashed

  Background:
    Given a job cell of 3 nodes and 6 workers

  Scenario Outline: A job isn't failed for workers that left as planned while all nodes were down and <came back>
    When a job of the steps "1" of 60 seconds is submitted
    And 4 seconds go by
    And all nodes are down while the task's worker leaves as planned and <comes back>, 3 times
    And 8 seconds go by
    Then the job is shown as "running" by every node
    And the workers' record is clean

    Examples:
      | came back                | comes back                |
      | came back under new ids  | runs under another id     |
      | began again under theirs | begins again under its id |

  Scenario Outline: A job isn't failed for workers that left as planned while their list wasn't answered and <came back>
    When a job of the steps "1" of 60 seconds is submitted
    And 4 seconds go by
    And the list of workers isn't answered while the task's worker leaves as planned and <comes back>, 5 times
    And 8 seconds go by
    Then the job is shown as "running" by every node
    And the workers' record is clean

    Examples:
      | came back                | comes back                |
      | came back under new ids  | runs under another id     |
      | began again under theirs | begins again under its id |

  Scenario: A worker that was silent and left before anyone heard it again hasn't crashed
    When a job of the steps "1" of 60 seconds is submitted
    And the task's worker is silent from soon after its start and leaves as planned while all nodes are down, 3 times
    And 8 seconds go by
    Then the job is shown as "running" by every node

  Scenario: A worker that was silent for a while and answered again before it left unwatched hasn't crashed
    When a job of the steps "1" of 60 seconds is submitted
    And the task's worker is silent for 3 seconds soon after its start and leaves as planned while all nodes are down, 3 times
    And 8 seconds go by
    Then the job is shown as "running" by every node
    And the workers' record is clean

  Scenario: The log of a loss tells whether somebody watched the worker
    When a job of the steps "1" of 60 seconds is submitted
    And 4 seconds go by
    And all nodes are down while the task's worker leaves as planned and runs under another id, 1 times
    And 3 seconds go by
    Then the log of the owner has "heard=False watched=False connection_lost=False crashes=0 suspicion=0"

  Scenario: The next owner doesn't count a worker that the former one has seen drain
    When a job of the steps "1" of 60 seconds is submitted
    And the task's worker drains and ends soon after its start and its owner is killed at once, 3 times
    And 8 seconds go by
    Then the job is shown as "running" by every node

  Scenario: An unseen loss is stored until the task has worked for long, also across a change of the owner
    When a job of the steps "1" of 60 seconds is submitted
    And 4 seconds go by
    And all nodes are down while the task's worker leaves as planned and runs under another id, 1 times
    And 1 second goes by
    Then the stored task has lost a worker unseen
    When the owner is killed
    And 16 seconds go by
    Then the stored task has lost no worker unseen
