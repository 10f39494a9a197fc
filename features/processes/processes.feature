Feature: Real processes break no promise while processes and links fail

  Nodes run as on the platform; their connections pass proxies that part groups.

  Scenario: An owner that is partitioned with two workers runs no task twice
    Then a job of real processes runs once though its owner is partitioned

  Scenario: No job is lost or run twice while disruptions of all kinds overlap
    Then the soak of processes of seed 5 is whole

  Scenario Outline: The soak's judge doesn't miss <rule> (<case>)
    Then the judge finds "<rule>" where it is broken by "<case>"

    Examples:
      | rule    | case                 |
      | TWICE   | twice                |
      | TWICE   | twice_after_done     |
      | LIMIT   | limit                |
      | ORDER   | order                |
      | ROUTE   | route                |
      | UNASKED | unasked              |
      | UNASKED | unasked_after_cancel |
      | BUDGET  | budget               |
      | REFUSED | refused              |
      | DRAIN   | drain                |
      | MIXED   | mixed                |
      | LOST    | lost                 |
      | LOST    | lost_without_cause   |
