Feature: leaving
  A backend server that leaves gets no new work anywhere, and a host that is stopped cuts none.

  Scenario: a sign of leaving holds for its boot, whatever comes after it
    Given two hosts that tell each other their signs of leaving
    Then over 300 drawn orders of reports, refusals, list readings and words no leaving boot gets work
    And a new boot of a backend server that had left gets work at once

  Scenario: a host list that lags does not keep work from a new boot for good
    Given two hosts that tell each other their signs of leaving
    When a backend server is replaced while the host list still shows its old boot as leaving
    Then it gets no work while the list says so and for up to 30 s after
    And it gets work then, at both hosts

  Scenario: a malformed word about leaving harms nothing
    Given two hosts that tell each other their signs of leaving
    Then random bytes as a word raise nothing and block nothing
