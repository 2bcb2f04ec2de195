Feature: placement state machine
  No order of execution lets two hosts place layers with conflicting orders.

  Scenario: lost replies, late orders, freezes, kills and restarts at any await
    When 150 runs of the placement machine are made with 60 rules each
    Then no run of the placement machine violated an invariant

  Scenario: the machine detects a holder that ignores the expiry of its lease
    When 3000 runs of 60 rules each are made with leases that never expire for their holder
    Then the placement machine detects a violated invariant
