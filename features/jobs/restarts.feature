Feature: A worker that begins again under its id runs no task twice

  Scenario: No task runs twice while workers lose power and begin again under their ids
    Given a job cell of 3 nodes and 8 workers
    When 200 jobs of 8 tasks come while each worker in turn is away for 1 second
    And 20 seconds go by
    Then all of these jobs are shown as "completed"
    And the workers' record is clean

  Scenario: A run that the new incarnation has started goes on
    Given a job cell of 3 nodes and 1 workers
    When a job of the steps "4" of 3 seconds is submitted
    And the worker loses power just before its starts arrive
    And 10 seconds go by
    Then the job is shown as "completed" by every node
    And each task of the job was started once
    And the workers' record is clean

  Scenario: A job isn't failed for starts that workers without power never answered
    Given a job cell of 3 nodes and 4 workers
    When a job of the steps "1" of 1 seconds is submitted
    And the workers of its first 4 starts lose power for 2 seconds just before these arrive
    And 20 seconds go by
    Then the job is shown as "completed" by every node
    And the workers' record is clean

  Scenario: A task that crashes its workers is given up if its workers are listed again after their leases have ended
    Given a job cell of 3 nodes and 9 workers
    When a job of the steps "1" of 60 seconds is submitted
    And each of its workers crashes 2 seconds after its start and is listed again 8 seconds later, 4 times
    And 8 seconds go by
    Then the job is shown as "failed" by every node
