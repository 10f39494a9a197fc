Feature: Real processes break no promise while processes and links fail

  Nodes run as on the platform; their connections pass proxies that part groups.

  Scenario: An owner that is partitioned with two workers runs no task twice
    Then a job of real processes runs once though its owner is partitioned
