Feature: The promises hold under failure, and each check can fail

  Scenario Outline: <script>, needs: <guard>
    When the script "<script>" runs
    Then every promise was kept
    But without the guard "<guard>" a promise is broken

    Examples:
      | script             | guard                                  |
      | late start         | a seal refuses what is older           |
      | thawed owner       | commits depend on the own row          |
      | kill before record | the intent is durable before the start |
      | short silence      | a silent worker is waited for          |
      | full fleet         | holds are charged                      |
      | refused accept     | a refused accept is taken back         |
      | lost worker        | lost work of unknown outcome stays so  |
      | unkept end         | an end is kept until it is on record   |
      | leaving worker     | a leaving worker is closed             |
      | cancel wave        | a stop follows a cancel                |
      | spread gang        | a gang is placed whole                 |
      | drained daemon     | a draining daemon follows the owners   |

    Examples: found by fuzzing or by reading
      | script       | guard                               |
      | twin names   | peers are told apart by incarnation |
      | dead journal | journals of the dead are removed    |
      | over user    | over-users are throttled            |

  Scenario: A daemon that was replaced meanwhile can still drain
    When the script "fenced drain" runs
    Then every promise was kept

  Scenario: A gang that finds no room neither spins nor starves
    When the script "crowded gang" runs
    Then every promise was kept

  Scenario: Lookups go on while the table service is out
    When the script "lookups in outage" runs
    Then every promise was kept
