Feature: overload
  Under overload each workspace keeps its share, and excess requests are refused immediately.

  Scenario: one workspace at ten times its share, three times the bound in all
    Given a site whose engines differ 8-fold in speed and run at most 275 tokens per second
    When "lab" and "desk" send 1.25 requests per second each of 24 tokens for 15 s
    And "bulk" sends 32 requests per second in addition for 15 s
    Then complete answers, all in the engines' journals, make up at least 90 percent of that rate
    And no request of "lab" and "desk" is refused, and each text matches its own prompt
    And their 95th percentile time to first token is at most 1.5 times that without overload
    And 99 percent of the refusals come within 50 ms, each with a retry delay and "not_run"
