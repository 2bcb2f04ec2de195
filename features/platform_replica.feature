Feature: stand-in for the platform's replicas
  Runs of one request at a replica are told apart, as those of different requests are.

  Scenario: a request is sent again while its first run still waits for a later stage
    Given stand-in replicas that hold the halves of a model, the second half twice
    When a stream waits for its second half, which has fallen silent
    And its caller leaves and sends it again past the silent replica
    Then the second run ends whole, with each further event once
    And the first replica reports nothing as stalled
