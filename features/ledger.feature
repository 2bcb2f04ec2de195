Feature: ledger
  A reservation under an Idempotency-Key runs at most once, and an answer "not run" is true,
  whatever fails.

  Background:
    Given a ledger site with six entry hosts and three replicas of a service

  Scenario: one key is sent through all entry hosts at once
    When one key is sent through all six entry hosts at once, 10 times over
    Then no key ran twice and no answer "not run" was false

  Scenario: the key-value service goes down and comes back
    When a reservation under ledger key "early" is sent through entry host 0
    And the key-value service of the ledger site goes down
    And a reservation under ledger key "early" is sent through entry host 1
    Then the ledger site's last answer is "ledger_unavailable", ran "may_have_run", within 1500 ms
    When the key-value service of the ledger site comes up
    And a reservation under ledger key "early" is sent through entry host 1 until it is answered
    Then the ledger site's last answer is the outcome of the first

  Scenario: a host that was frozen for longer than every timeout resumes
    When entry host 0 is frozen while a reservation under ledger key "cold" is sent to it
    And its caller times out and the key is sent through entry host 1
    And entry host 0 resumes and the key is sent through entry host 2
    Then no key ran twice and no answer "not run" was false

  Scenario: a call abandoned by its caller does not run after an answer "not run"
    When entry host 0 is frozen while a reservation under ledger key "late" is sent to it
    And all replicas of the service are killed and the ledger key "late" is sent through entry host 1
    Then the ledger site's last answer is "backend_server_unreachable", ran "not_run", within 3000 ms
    When the replicas of the service restart and entry host 0 resumes and serves ledger key "next"
    Then no key ran twice and no answer "not run" was false

  Scenario: an entry host is killed at several points between request and answer
    When an entry host is killed 0, 2, 4, 6, 8, 10, 14 and 20 ms after it was sent a reservation
    Then no key ran twice and no answer "not run" was false

  Scenario: a claim left open by a killed host is never taken over
    When entry host 0 is killed while a reservation under ledger key "open" runs on a slow service
    And the ledger key "open" is sent through entry host 1 until it is "earlier_attempt_unresolved"
    Then no key ran twice and no answer "not run" was false

  Scenario: retries during kills, freezes, lost replies and outages
    When 800 ledger keys are sent 3200 times through all entry hosts while faults run
    Then no key ran twice and no answer "not run" was false
    And at least 5 faults ran and at least 600 of the keys ran
