Feature: Invalid requests get a typed problem and no work is lost

  Background:
    Given a cell with 3 workers and the daemons "a, b"

  Scenario Outline: <case> is refused with a typed problem
    When a caller sends the body
      """
      <body>
      """
    Then the problem is "<kind>" with status <status>
    And the problem names a remedy and says that nothing ran
    And work "good" can still be submitted and succeeds

    Examples:
      | case                              | kind       | status | body |
      | malformed JSON                    | malformed  | 400    | {"id": "x", |
      | an unknown field                  | invalid    | 422    | {"id":"x","kind":"batch","team":"t","pool":"booking","resources":{"milli_cores":1,"memory_mib":1},"colour":"red"} |
      | a negative size                   | invalid    | 422    | {"id":"x","kind":"batch","team":"t","pool":"booking","resources":{"milli_cores":-1,"memory_mib":1}} |
      | a size over the limit             | invalid    | 422    | {"id":"x","kind":"batch","team":"t","pool":"booking","resources":{"milli_cores":99999999999,"memory_mib":1}} |
      | a word for a number               | invalid    | 422    | {"id":"x","kind":"batch","team":"t","pool":"booking","resources":{"milli_cores":"many","memory_mib":1}} |
      | an unknown kind                   | invalid    | 422    | {"id":"x","kind":"quick","team":"t","pool":"booking","resources":{"milli_cores":1,"memory_mib":1}} |
      | an id with a slash                | invalid    | 422    | {"id":"x/y","kind":"batch","team":"t","pool":"booking","resources":{"milli_cores":1,"memory_mib":1}} |
      | a missing field                   | invalid    | 422    | {"id":"x","kind":"batch","team":"t","pool":"booking"} |
      | a work too large for every worker | impossible | 422    | {"id":"x","kind":"batch","team":"t","pool":"booking","resources":{"milli_cores":64000,"memory_mib":1}} |
      | an unknown pool                   | impossible | 422    | {"id":"x","kind":"batch","team":"t","pool":"nowhere","resources":{"milli_cores":1,"memory_mib":1}} |
      | a lookup that is not idempotent   | invalid    | 422    | {"id":"x","kind":"lookup","team":"t","pool":"booking","resources":{"milli_cores":1,"memory_mib":1}} |

  Scenario: A body over the size limit is refused without being read
    When a caller sends a body of 9000000 bytes
    Then the problem is "too-large" with status 413
    And the problem names a remedy and says that nothing ran

  Scenario: A method that the route does not support is refused
    When a caller sends "PATCH" to "/v1/work"
    Then the problem is "method-not-allowed" with status 405
    And the problem names a remedy and says that nothing ran

  Scenario: An id that is reused with different content is refused
    Given work "hold-1" was submitted
    When a caller sends the body
      """
      {"id":"hold-1","kind":"batch","team":"other","pool":"booking","resources":{"milli_cores":1,"memory_mib":1}}
      """
    Then the problem is "id-reused" with status 409
    And the problem names a remedy and says that nothing ran

  Scenario: An invalid item of an array does not affect the others
    When a caller sends the body
      """
      [{"id":"bad"},{"id":"fine","kind":"batch","team":"t","pool":"booking","resources":{"milli_cores":1,"memory_mib":1},"run_s":1}]
      """
    Then item "bad" is refused as "invalid"
    And work "fine" succeeds

  Scenario: The listener for callers does not serve operator routes
    When a caller sends "PUT" to "/v1/tickets/1"
    Then the problem is "not-found" with status 404
