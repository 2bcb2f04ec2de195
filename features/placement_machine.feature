Feature: placement state machine
  No order of execution lets two hosts place layers with conflicting orders.

  Scenario: lost replies, late orders, freezes, kills, restarts and returns of the store from a copy at any await
    When 150 runs of the placement machine are made with 60 rules each
    Then no run of the placement machine violated an invariant

  Scenario: the machine detects a holder that ignores the expiry of its lease
    When 3000 runs of 60 rules each are made with leases that never expire for their holder
    Then the placement machine detects a violated invariant

  Scenario: the machine detects hosts that don't know of the store's return
    When 3000 runs of 60 rules each are made with a store that doesn't tell of its return
    Then the placement machine detects a violated invariant
