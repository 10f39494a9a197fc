Feature: Steps get their permits although decisions are slow and permits expire soon

  Scenario: A gang whose workers don't fit in one permit call starts
    Given a pool of 90 workers and 6 nodes whose gang permits take 1 second and expire after 1.5
    And the next job may run on 2 workers in each 30
    When a gang of 6 tasks of a whole worker each is submitted
    And 4 seconds go by
    Then all tasks of the last job have started
    And the workers' record is clean

  Scenario: A gang on one permit route only names up to 100 workers at once
    Given a pool of 90 workers and 1 nodes whose gang permits take 1 second and expire after 1.5
    And the next job may run on 2 workers in each 30
    When a gang of 6 tasks of a whole worker each is submitted
    And 4 seconds go by
    Then all tasks of the last job have started

  Scenario: A gang whose workers become free one after the other starts once all are free
    Given a pool of 12 workers and 6 nodes whose gang permits take 1 second and expire after 1.5
    And the next job may run on 6 workers that become free from 2 to 4 seconds from now on
    When a gang of 6 tasks of a whole worker each is submitted
    And 6 seconds go by
    Then all tasks of the last job have started
    And the workers' record is clean

  Scenario: Permit requests avoid a node that doesn't answer them
    Given a pool of 12 workers and 4 nodes whose gang permits take 0.3 seconds and expire after 1.5
    And the permit service leaves the calls of 2 nodes unanswered
    When 6 gangs of 2 tasks are submitted, one each 0.8 seconds
    And 2 seconds go by
    Then the last 3 gangs have started within 1 second

  Scenario: Nothing waits 3 seconds while twice its capacity is free
    Then in 8 random cells nothing waits 3 seconds while twice its capacity is free
