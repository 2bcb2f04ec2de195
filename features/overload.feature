Feature: overload
  Beyond what the engines can do, each workspace keeps its share, and the rest is refused at once.

  Scenario: one workspace at ten times its share, three times the bound in all
    Given a site of engines 8 times apart that can do 275 tokens a second
    When "lab" and "desk" send 1.25 requests a second each of 24 tokens for 15 s
    And "bulk" sends 32 requests a second beside them for 15 s
    Then the engines' journals show at least 90 in 100 of the bound in whole answers
    And no request of "lab" and "desk" is refused, and each text is its own prompt's
    And their first token for 95 in 100 takes at most 1.5 times as long as without overload
    And 99 in 100 refusals come within 50 ms, each with a time to come back and "not_run"
