Feature: ledger machine
  No order of execution doubles work under a key or makes a false "not run".

  Scenario: lost replies, freezes and kills at each await
    When 300 runs of the ledger machine are made with 60 rules each
    Then no run of the ledger machine broke a rule

  Scenario: a release is followed by another attempt's run before its answer
    When 300 runs of the ledger machine are made with 60 rules each, drawn by seed 2
    Then no run of the ledger machine broke a rule
