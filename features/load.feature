Feature: load
  The load tool sends at its own times, tells what callers saw, and checks it against the journals.

  Scenario: a run of Trekvast's mix is clean in the journals
    Given a small site with three entry hosts
    When pimentodale-load runs the mix "trekvast" at 30 requests a second for 4000 ms
    Then its figures count each request once, most of them whole
    And pimentodale-load finds nothing wrong in the services' journals

  Scenario: a journal with a doubled key is found out
    Given a small site with three entry hosts
    When pimentodale-load runs the mix "voltwissel" at 20 requests a second for 2000 ms
    And a line of a service's journal is written twice
    Then pimentodale-load finds a doubled key and exits with 1

  Scenario: an experiment is run in turns and reported
    Given a small site with three entry hosts
    When pimentodale-load runs an experiment of 2 variants in 2 rounds with a fault
    Then its result has 4 runs in turns, each round with its own seed
    And its report has a table and plots

  Scenario Outline: a plan that can't be used is refused
    When pimentodale-load is given a plan with <field> set to <value>
    Then it is refused with code 2, naming "<place>"

    Examples:
      | field    | value              | place       |
      | mix      | "nothing"          | mix         |
      | entries  | ["10.1.2.3:8080"]  | loopback    |
      | entries  | ["here"]           | entries     |
      | arrivals | {"shape": "flood"} | arrivals    |
      | colour   | 1                  | colour      |
