Feature: The promises hold under failures, and each guard is needed

  Scenario Outline: <script> passes because <guard>
    When the script "<script>" runs
    Then every promise was kept
    But without the guard "<guard>" a promise is broken

    Examples:
      | script              | guard                                 |
      | late start          | a fence bars older requests           |
      | resumed owner       | commits require the member row        |
      | kill before commit  | a start follows its durable commit    |
      | short disconnect    | a worker is lost only after its lease |
      | overloaded fleet    | allocations reduce free capacity      |
      | refused submission  | a refused work is withdrawn           |
      | restarted worker    | non-idempotent tasks run at most once |
      | unrecorded end      | ends are reported until recorded      |
      | leaving worker      | a leaving worker gets no starts       |
      | mass cancel         | a cancel stops placed tasks           |
      | gang across daemons | a gang starts as a whole              |
      | drained daemon      | a draining daemon reads the owners    |

    Examples: found by fuzzing or by code review
      | script                 | guard                                |
      | duplicate name         | peers are identified by incarnation  |
      | journal of dead daemon | journals of dead daemons are removed |
      | excess usage           | excess usage is throttled            |

  Scenario: A daemon that was replaced while it was paused can still drain
    When the script "drain after replacement" runs
    Then every promise was kept

  Scenario: A partition that a daemon released and acquired again keeps its work
    When the script "partition returns" runs
    Then every promise was kept

  Scenario: A gang without free capacity neither busy-loops nor starves
    When the script "gang without capacity" runs
    Then every promise was kept

  Scenario: Lookups continue during an outage of the table service
    When the script "lookups in outage" runs
    Then every promise was kept
