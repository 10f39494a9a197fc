Feature: A signal never ends a process in disorder

  Scenario Outline: SIGHUP while the libraries of <program> are loaded doesn't end it
    Given <program> that waits while it loads its libraries
    When it gets SIGHUP 20 times
    And it goes on loading
    Then it calls its platform

    Examples:
      | program    |
      | a node     |
      | the daemon |

  Scenario Outline: SIGHUP while <program> shuts down doesn't end it
    Given <program> that has called its platform
    When it gets SIGHUP 20 times
    And it gets SIGTERM 1 times
    And it logs "received"
    And it gets SIGHUP until it exits
    Then its exit status is 0

    Examples:
      | program    |
      | a node     |
      | the daemon |

  Scenario Outline: SIGTERM while the libraries of <program> are loaded ends it before it starts
    Given <program> that waits while it loads its libraries
    When it gets SIGTERM 20 times
    And it goes on loading
    Then its exit status is 0
    And it has called nobody

    Examples:
      | program    |
      | a node     |
      | the daemon |

  Scenario: Further SIGTERM don't cut a node's shutdown short
    Given a node that has called its platform
    When it gets SIGTERM 1 times
    And it logs "received"
    And it gets SIGTERM until it exits
    Then its exit status is 0
    And it has logged "stopped node="
