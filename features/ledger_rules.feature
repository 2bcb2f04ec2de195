Feature: ledger rules
  A claim is written before the first byte of non-repeatable work and the outcome after the last.

  Scenario: a re-send gets the outcome again
    Given a ledger host "a" and a ledger host "b" over one store
    When work "rig-1" under key "k" is done through ledger host "a"
    And work "rig-1" under key "k" is done through ledger host "b"
    Then the ledger work under "k" ran 1 time
    And the last ledger answer is the replayed outcome of "rig-1"

  Scenario: another body under the same key is refused
    Given a ledger host "a" and a ledger host "b" over one store
    When work "rig-1" under key "k" is done through ledger host "a"
    And work "rig-2" under key "k" is done through ledger host "b"
    Then the ledger work under "k" ran 1 time
    And the last ledger answer is "idempotency_key_reused" with ran "may_have_run", this attempt "not_run" and earlier attempt "finished"

  Scenario: a key whose first attempt goes on is refused with a time to come back
    Given a ledger host "a" and a ledger host "b" over one store
    When work "rig-1" under key "k" is held by ledger host "a" after its first byte
    And work "rig-1" under key "k" is done through ledger host "b"
    Then the last ledger answer is "earlier_attempt_running" with ran "may_have_run", this attempt "not_run" and earlier attempt "running"
    And the last ledger answer says when to come back
    When the ledger clock moves on by 70000 ms
    And work "rig-1" under key "k" is done through ledger host "b"
    Then the last ledger answer is "earlier_attempt_unresolved" with ran "may_have_run", this attempt "not_run" and earlier attempt "unknown"
    And the ledger work under "k" ran 1 time

  Scenario: a host that can't read the ledger does not speak for the key
    Given a ledger host "a" and a ledger host "b" over one store
    When work "rig-1" under key "k" is done through ledger host "a"
    And the store is out of reach of ledger host "b"
    And work "rig-1" under key "k" is done through ledger host "b"
    Then the last ledger answer is "ledger_unavailable" with ran "may_have_run", this attempt "not_run" and earlier attempt "unknown"
    And the last ledger answer says when to come back

  Scenario: work that never went out gives its key back
    Given a ledger host "a" and a ledger host "b" over one store
    When work "rig-1" under key "k" finds no backend server at ledger host "a"
    Then the last ledger answer is "no_route" with ran "not_run", this attempt "not_run" and earlier attempt "none"
    When work "rig-1" under key "k" is done through ledger host "b"
    Then the ledger work under "k" ran 1 time
    And the last ledger answer is the new outcome of "rig-1"

  Scenario: a key that is being released runs nowhere before it is free
    Given a ledger host "a" and a ledger host "b" over one store
    When ledger host "a" begins to release key "k" and work "rig-1" under it starts through ledger host "b"
    Then the ledger work under "k" ran 0 times
    When ledger host "a" releases key "k"
    Then the ledger work under "k" ran 1 time
    And the last ledger answer is the new outcome of "rig-1"

  Scenario: a release goes on after the mark's reply was lost
    Given a ledger host "a" and a ledger host "b" over one store
    When work "other" under key "early" is done through ledger host "a"
    And ledger host "a" loses the reply to its mark on key "k" and releases it
    And work "rig-1" under key "k" is done through ledger host "b"
    Then the ledger work under "k" ran 1 time
    And the last ledger answer is the new outcome of "rig-1"

  Scenario: a key whose holder died while it released it is refused
    Given a ledger host "a" and a ledger host "b" over one store
    When ledger host "a" begins to release key "k" and never goes on
    And work "rig-1" under key "k" is done through ledger host "b"
    Then the ledger work under "k" ran 0 times
    And the last ledger answer is "earlier_attempt_running" with ran "may_have_run", this attempt "not_run" and earlier attempt "running"

  Scenario: work that was lost after its first byte never runs again
    Given a ledger host "a" and a ledger host "b" over one store
    When work "rig-1" under key "k" is lost at ledger host "a" after its first byte
    Then the last ledger answer is "backend_server_lost" with ran "may_have_run", this attempt "may_have_run" and earlier attempt "none"
    When work "rig-1" under key "k" is done through ledger host "b"
    Then the ledger work under "k" ran 1 time
    And the last ledger answer is "earlier_attempt_unresolved" with ran "may_have_run", this attempt "not_run" and earlier attempt "unknown"

  Scenario: a host that froze between its claim and the first byte neither runs nor blocks the key
    Given a ledger host "a" and a ledger host "b" over one store
    When work "rig-1" under key "k" is frozen at ledger host "a" before its first byte for 70000 ms
    Then the last ledger answer is "deadline_exceeded" with ran "not_run", this attempt "not_run" and earlier attempt "none"
    And the ledger work under "k" ran 0 times
    When work "rig-1" under key "k" is done through ledger host "b"
    Then the ledger work under "k" ran 1 time

  Scenario: a lost reply to the claim is read back
    Given a ledger host "a" and a ledger host "b" over one store
    When work "other" under key "early" is done through ledger host "a"
    And the store loses its next reply to ledger host "a"
    And work "rig-1" under key "k" is done through ledger host "a"
    Then the last ledger answer is the new outcome of "rig-1"
    And the ledger work under "k" ran 1 time

  Scenario: an answer too large to keep is not run again
    Given a ledger host "a" and a ledger host "b" over one store
    When work "huge" under key "k" is done through ledger host "a"
    And work "huge" under key "k" is done through ledger host "b"
    Then the ledger work under "k" ran 1 time
    And the last ledger answer is "outcome_not_kept" with ran "may_have_run", this attempt "not_run" and earlier attempt "finished"

  Scenario: a claim is kept for the retention, also when that was raised meanwhile
    Given a ledger host "a" and a ledger host "b" over one store
    When work "other" under key "early" is done through ledger host "a"
    And the retention of the ledger is raised to 86400000 ms
    And work "rig-1" under key "k" is done through ledger host "a"
    And the ledger clock moves on by 86300000 ms
    And work "rig-1" under key "k" is done through ledger host "b"
    Then the ledger work under "k" ran 1 time
    And the last ledger answer is the replayed outcome of "rig-1"

  Scenario: a claim whose replies were all lost is withdrawn
    Given a ledger host "a" and a ledger host "b" over one store
    When work "other" under key "early" is done through ledger host "a"
    And the store loses its next 2 replies to ledger host "a"
    And work "rig-1" under key "k" is done through ledger host "a" and its claims settle
    Then the last ledger answer is "ledger_unavailable" with ran "may_have_run", this attempt "not_run" and earlier attempt "unknown"
    When work "rig-1" under key "k" is done through ledger host "b"
    Then the last ledger answer is the new outcome of "rig-1"

  Scenario: a release whose reply was lost does not take the next claim
    Given a ledger host "a" and a ledger host "b" over one store
    When ledger host "a" releases key "k", loses the reply, and ledger host "b" claims it before the next try
    And the ledger clock moves on by 1000 ms
    And work "rig-1" under key "k" is done through ledger host "a"
    Then the last ledger answer is "earlier_attempt_running" with ran "may_have_run", this attempt "not_run" and earlier attempt "running"
