Feature: ledger machine
  No order of execution runs work under a key twice or gives a false answer "not run".

  Scenario: lost replies, freezes and kills at every await
    When 300 runs of the ledger machine are made with 60 rules each
    Then no run of the ledger machine violated an invariant

  Scenario: another attempt runs between a release and the answer of the releasing attempt
    When 300 runs of the ledger machine are made with 60 rules each, generated with seed 2
    Then no run of the ledger machine violated an invariant
