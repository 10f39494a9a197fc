Feature: Connections that go silent for good cost one lost call each path

  Scenario Outline: One call is lost when all connections to the store have gone silent
    Given a store client with 6 idle connections
    When all of them go silent before <call>
    Then that call is answered after 1 lost call

    Examples:
      | call                            |
      | the change of the configuration |
      | a write                         |
      | a feed and then a write         |

  Scenario: Each peer whose connection has gone silent costs one lost call, and none delays another
    Given 3 peers whose first connections go silent after one reply
    When each peer is called three times
    Then each is answered, then lost once, and answered again
    And the lost calls were waited for at the same time
