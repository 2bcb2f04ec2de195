Feature: ledger
  A keyed reservation runs at most once, and "not run" is true, whatever fails on the way.

  Background:
    Given a ledger site with six entry hosts and three replicas of a service

  Scenario: one key through all entry hosts at once
    When one key is sent through all six entry hosts at once, 10 times over
    Then no key ran twice and no "not run" was false

  Scenario: the key-value service is down and up again
    When a reservation under ledger key "early" is sent through entry host 0
    And the key-value service of the ledger site goes down
    And a reservation under ledger key "early" is sent through entry host 1
    Then the ledger site's last answer is "ledger_unavailable", ran "may_have_run", within 1500 ms
    When the key-value service of the ledger site comes up
    And a reservation under ledger key "early" is sent through entry host 1 until it is answered
    Then the ledger site's last answer is the outcome of the first

  Scenario: a host frozen past every time-out wakes up
    When entry host 0 is frozen with a reservation under ledger key "cold" on its way
    And its caller gives up and the key is sent through entry host 1
    And entry host 0 wakes up and the key is sent through entry host 2
    Then no key ran twice and no "not run" was false

  Scenario: a call that its caller gave up does not run after a "not run"
    When entry host 0 is frozen with a reservation under ledger key "late" on its way
    And all replicas of the service are killed and the ledger key "late" is sent through entry host 1
    Then the ledger site's last answer is "backend_server_unreachable", ran "not_run", within 3000 ms
    When the replicas of the service are back and entry host 0 wakes up and serves ledger key "next"
    Then no key ran twice and no "not run" was false

  Scenario: an entry host is killed at points between accept and answer
    When an entry host is killed 0, 2, 4, 6, 8, 10, 14 and 20 ms after it was sent a reservation
    Then no key ran twice and no "not run" was false

  Scenario: a claim that its killed host left open is never taken over
    When entry host 0 is killed with a reservation under ledger key "open" at a slow service
    And the ledger key "open" is sent through entry host 1 until it is "earlier_attempt_unresolved"
    Then no key ran twice and no "not run" was false

  Scenario: re-sends under kills, freezes, lost replies and outages
    When 800 ledger keys are sent 3200 times through all entry hosts while faults run
    Then no key ran twice and no "not run" was false
    And at least 5 faults ran and at least 600 of the keys ran
