Feature: Leases are extended only while no successor can take them for ended

  Background:
    Given an owner whose voters are w0 to w4

  Scenario: An owner that the store has confirmed extends leases without voters
    When 1.9 seconds go by for the owner
    Then the owner may extend leases

  Scenario: An owner that neither store nor voters answer stops
    When 2.1 seconds go by for the owner
    Then the owner's permission has ended 0.1 seconds ago

  Scenario: An owner goes on while more than half of its voters answer
    When 10 seconds go by for the owner
    And w0,w1,w2 answer the owner
    And 1.9 seconds go by for the owner
    Then the owner may extend leases

  Scenario: Half of the voters and less don't vouch for an owner
    When 10 seconds go by for the owner
    And w0,w1 answer the owner
    Then the owner's permission has ended 8 seconds ago

  Scenario: A voter that has begun again doesn't vouch for an owner
    When 10 seconds go by for the owner
    And w0,w1 answer the owner
    And an answer comes from a later incarnation of w2
    Then the owner's permission has ended 8 seconds ago

  Scenario: Voters vouch for an owner for 30 seconds at most
    When 31 seconds go by for the owner
    And w0,w1,w2,w3,w4 answer the owner
    Then the owner's permission has ended 1 seconds ago

  Scenario: An owner that was suspended has no permission from before
    When the owner's machine is suspended for 5 seconds
    Then the owner's permission has ended 3 seconds ago

  Scenario: Former and new voters must both vouch while a change is not stored
    When 3 seconds go by for the owner
    And w0,w1,w2 answer the owner
    And 2.1 seconds go by for the owner
    And w0,w1,w2 answer the owner
    And the owner begins to record w5,w6,w7 as voters
    Then the owner's permission has ended 3.1 seconds ago
    When w5,w6 answer the owner
    Then the owner may extend leases

  Scenario: Former voters must vouch although the store refuses the new ones
    When 3 seconds go by for the owner
    And w0,w1,w2 answer the owner
    And 2.1 seconds go by for the owner
    And the owner begins to record w5,w6,w7 as voters
    And the store refuses the owner's record of voters
    And 3 seconds go by for the owner
    And w5,w6,w7 answer the owner
    Then the owner's permission has ended 3.1 seconds ago

  Scenario: An owner that has reached too few voters leaves them as they are
    When 3 seconds go by for the owner
    Then the owner can't record w5,w6,w7 as voters

  Scenario: Half of the voters exclude the former owner
    Given an owner whose voters are w0 to w3
    When 1 seconds go by for the owner
    And w0 answers the owner
    Then former leases are extended for up to 29 more seconds
    When w1 answers the owner
    Then former leases are extended for up to 2 more seconds

  Scenario: A voter whose instance runs another worker can't vouch for the former owner
    When w0,w1 answer the owner
    And the instance of w2 runs w9, which answers
    Then former leases are extended for up to 2 more seconds

  Scenario: A former owner whose voters are unknown is excluded by time alone
    Given an owner whose voters are not known
    When w0,w1,w2,w3,w4 answer the owner
    Then former leases are extended for up to 30 more seconds
