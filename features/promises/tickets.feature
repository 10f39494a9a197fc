Feature: Change tickets are atomic, ordered and in force at every daemon

  Background:
    Given a cell with 3 workers and the daemons "a, b, c"

  Scenario: A ticket is in force at every daemon within 4 s
    When ticket 10 sets the weight of team "theatre" to 3
    And 4 seconds pass
    Then team "theatre" has weight 3 at every daemon
    And no daemon lacks ticket 10

  Scenario: A ticket that is sent again is applied once
    When ticket 10 sets the weight of team "theatre" to 3
    And ticket 10 sets the weight of team "theatre" to 3
    Then the last ticket was accepted at revision 1

  Scenario: A used number with different content is a conflict
    When ticket 10 sets the weight of team "theatre" to 3
    And ticket 10 sets the weight of team "theatre" to 5
    Then the last ticket was refused as "ticket-conflict"

  Scenario: An older ticket is refused whole, naming the newer one
    When ticket 10 sets the weight of team "theatre" to 3
    And ticket 9 sets the weights of teams "theatre, ortzadar" to 5
    And 4 seconds pass
    Then the last ticket was refused as "ticket-stale"
    And the refusal names ticket 10
    And team "theatre" has weight 3 at every daemon
    And team "ortzadar" has weight 1 at every daemon

  Scenario Outline: Concurrent tickets of <operators> operators are ordered
    When <operators> operators send tickets from 20 on for teams "theatre, ortzadar"
    And 4 seconds pass
    Then the teams "theatre, ortzadar" have one common weight at every daemon
    And the accepted tickets were applied in the order of their numbers

    Examples:
      | operators |
      | 2         |
      | 4         |
      | 6         |

  Scenario: A ticket that is sent again after a lost reply is applied once
    Given the table service loses every reply
    When ticket 10 sets the weight of team "theatre" to 3
    And the table service recovers
    And ticket 10 sets the weight of team "theatre" to 3
    Then the last ticket was accepted at revision 1

  Scenario: A resumed daemon never returns to an older configuration
    Given daemon "b" is paused
    When ticket 10 sets the weight of team "theatre" to 3
    And ticket 11 sets the weight of team "theatre" to 7
    And daemon "b" is resumed
    And 5 seconds pass
    Then team "theatre" has weight 7 at every daemon

  Scenario: A daemon that starts during a table outage is not ready
    Given the table service is down
    When daemon "d" starts
    And 10 seconds pass
    Then daemon "d" is not ready

  Scenario Outline: <case> is refused with a typed problem
    When an operator sends ticket 5 with the body
      """
      <body>
      """
    Then the problem is "<kind>" with status <status>
    And the problem names a remedy and says that nothing ran

    Examples:
      | case                    | kind      | status | body |
      | an unknown object       | invalid   | 422    | {"number":5,"by":"op","objects":[{"object":"robot","name":"x"}]} |
      | an unknown field        | invalid   | 422    | {"number":5,"by":"op","objects":[{"object":"team","name":"x","mood":1}]} |
      | no number               | invalid   | 422    | {"number":"five","by":"op","objects":[{"object":"team","name":"x"}]} |
      | an empty ticket         | invalid   | 422    | {"number":5,"by":"op","objects":[]} |
      | an object twice         | invalid   | 422    | {"number":5,"by":"op","objects":[{"object":"team","name":"x"},{"object":"team","name":"x"}]} |
      | a different number      | invalid   | 422    | {"number":6,"by":"op","objects":[{"object":"team","name":"x"}]} |
      | a body that is not JSON | malformed | 400    | number = 5 |

  Scenario: The audit trail records the outcome of a ticket
    When ticket 10 sets the weight of team "theatre" to 3
    And ticket 9 sets the weight of team "theatre" to 5
    And 3 seconds pass
    Then the audit trail of ticket "10" has the event "accepted"
    And the audit trail of ticket "9" has the event "refused: ticket-stale"
