Feature: A step plans and requests permits only for workers on which it can be placed

  Scenario Outline: A waiting task isn't planned on a worker that it can't use (lasting: <lasting>, <condition>)
    Given a step of <cores> cores a task, lasting <lasting>, whose permits have expired
    And 4 workers of which the first is <condition>
    When 3 seconds are played
    Then a waiting task is placed on a sound worker

    Examples:
      | condition                      | lasting | cores |
      | at the limit of the step       | yes     | 6     |
      | at the limit of the step       | yes     | 1     |
      | quarantined                    | yes     | 6     |
      | quarantined                    | no      | 6     |
      | probed before the last attempt | no      | 6     |
      | probed before the last attempt | no      | 1     |
      | refusing starts                | yes     | 6     |
      | full                           | no      | 6     |

  Scenario: A step at its limit on all permitted workers renews no permits
    Given a step of 1 cores a task, lasting yes, whose permits have expired
    And 2 workers, each at the limit of the step
    When 3 seconds are played
    Then no permits were requested

  Scenario: A large task doesn't wait for an overdue run while another worker is free
    Given a step of 9 cores a task, lasting no, whose permits have expired
    And 4 workers, one of which has an overdue run and the others are full
    And 3 seconds have been played
    When the runs on the last worker end
    And 3 more seconds are played
    Then a waiting task is placed on the last worker

  Scenario: In random pools a waiting task is placed beside workers that it can't use
    Then in 200 random pools a waiting task is placed within 3 seconds

  Scenario: A suspected task and its sibling aren't placed beyond the step's limit in one round
    Given a step of 0 cores a task, lasting yes, whose permits have expired
    And 2 workers and a step of 3 tasks without needs, one of them suspected
    When 3 seconds are played by the step alone
    Then no worker has more than one task of the step
