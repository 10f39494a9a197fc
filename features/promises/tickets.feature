Feature: Change tickets are whole, ordered and in force everywhere

  Background:
    Given a cell with 3 workers and the daemons "a, b, c"

  Scenario: A ticket is in force at every daemon within 4 s
    When ticket 10 sets the weight of team "theatre" to 3
    And 4 seconds pass
    Then team "theatre" has weight 3 at every daemon
    And ticket 10 lacks no daemon

  Scenario: The same ticket sent again is the same ticket
    When ticket 10 sets the weight of team "theatre" to 3
    And ticket 10 sets the weight of team "theatre" to 3
    Then the last ticket was accepted at revision 1

  Scenario: The same number with another content is a conflict
    When ticket 10 sets the weight of team "theatre" to 3
    And ticket 10 sets the weight of team "theatre" to 5
    Then the last ticket was refused as "ticket-conflict"

  Scenario: An older ticket is refused whole and names the winner
    When ticket 10 sets the weight of team "theatre" to 3
    And ticket 9 sets the weights of teams "theatre, ortzadar" to 5
    And 4 seconds pass
    Then the last ticket was refused as "ticket-stale"
    And the refusal names ticket 10
    And team "theatre" has weight 3 at every daemon
    And team "ortzadar" has weight 1 at every daemon

  Scenario Outline: <operators> operators race and one ticket wins
    When <operators> operators race from ticket 20 on for teams "theatre, ortzadar"
    And 4 seconds pass
    Then every daemon has the same weights of "theatre, ortzadar"
    And accepted tickets were applied whole in the order of their numbers

    Examples:
      | operators |
      | 2         |
      | 4         |
      | 6         |

  Scenario: A lost reply does not make a second ticket
    Given the table service loses every reply
    When ticket 10 sets the weight of team "theatre" to 3
    And the table service recovers
    And ticket 10 sets the weight of team "theatre" to 3
    Then the last ticket was accepted at revision 1

  Scenario: A paused daemon never goes back to an older configuration
    Given daemon "b" is frozen
    When ticket 10 sets the weight of team "theatre" to 3
    And ticket 11 sets the weight of team "theatre" to 7
    And daemon "b" is thawed
    And 5 seconds pass
    Then team "theatre" has weight 7 at every daemon

  Scenario: A daemon that starts during an outage takes no work
    Given the table service is out
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
      | case              | kind    | status | body |
      | an unknown object | invalid | 422    | {"number":5,"by":"op","objects":[{"object":"robot","name":"x"}]} |
      | an unknown field  | invalid | 422    | {"number":5,"by":"op","objects":[{"object":"team","name":"x","mood":1}]} |
      | no number         | invalid | 422    | {"number":"five","by":"op","objects":[{"object":"team","name":"x"}]} |
      | an empty ticket   | invalid | 422    | {"number":5,"by":"op","objects":[]} |
      | an object twice   | invalid | 422    | {"number":5,"by":"op","objects":[{"object":"team","name":"x"},{"object":"team","name":"x"}]} |
      | another number    | invalid | 422    | {"number":6,"by":"op","objects":[{"object":"team","name":"x"}]} |
      | no JSON           | malformed | 400  | number = 5 |

  Scenario: The audit trail tells a ticket's story
    When ticket 10 sets the weight of team "theatre" to 3
    And ticket 9 sets the weight of team "theatre" to 5
    And 3 seconds pass
    Then the audit trail of ticket "10" says "accepted"
    And the audit trail of ticket "9" says "refused: ticket-stale"
