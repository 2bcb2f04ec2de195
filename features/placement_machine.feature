Feature: placement machine
  No order of execution lets two hosts place layers against each other.

  Scenario: lost replies, late orders, freezes, kills and restarts at each await
    When 150 runs of the placement machine are made with 60 rules each
    Then no run of the placement machine broke a rule

  Scenario: the machine finds a holder that goes by no clock
    When 3000 runs of 60 rules each are made with leases that count as sure for ever
    Then the placement machine finds that a rule is broken
