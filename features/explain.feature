Feature: explain
  An operator sees why a request went where it went.

  Scenario: a served, a refused and an unknown request
    Given a small site with three entry hosts
    When a chat completion of 12 tokens is streamed through entry host 0
    And a request for an unknown model is sent through entry host 1
    Then ctl explain shows the route, the attempt and each hop of the first
    And ctl explain shows the refusal of the second and its reason
    And ctl explain of an unknown request exits with 1
