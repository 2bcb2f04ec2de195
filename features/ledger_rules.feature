Feature: ledger rules
  A host writes a claim before the first byte of non-repeatable work and the outcome after the last.

  Scenario: a retry gets the stored outcome
    Given a ledger host "a" and a ledger host "b" over one store
    When work "rig-1" under key "k" is done through ledger host "a"
    And work "rig-1" under key "k" is done through ledger host "b"
    Then the ledger work under "k" ran 1 time
    And the last ledger answer is the replayed outcome of "rig-1"

  Scenario: a different body under the same key is refused
    Given a ledger host "a" and a ledger host "b" over one store
    When work "rig-1" under key "k" is done through ledger host "a"
    And work "rig-2" under key "k" is done through ledger host "b"
    Then the ledger work under "k" ran 1 time
    And the last ledger answer is "idempotency_key_reused" with ran "may_have_run", this attempt "not_run" and earlier attempt "finished"

  Scenario: a key whose first attempt is still running is refused with a retry delay
    Given a ledger host "a" and a ledger host "b" over one store
    When work "rig-1" under key "k" stays in progress on ledger host "a" after its first byte
    And work "rig-1" under key "k" is done through ledger host "b"
    Then the last ledger answer is "earlier_attempt_running" with ran "may_have_run", this attempt "not_run" and earlier attempt "running"
    And the last ledger answer has a retry delay
    When the ledger clock advances by 70000 ms
    And work "rig-1" under key "k" is done through ledger host "b"
    Then the last ledger answer is "earlier_attempt_unresolved" with ran "may_have_run", this attempt "not_run" and earlier attempt "unknown"
    And the ledger work under "k" ran 1 time

  Scenario: a host that can't read the ledger does not answer "not run" for the key
    Given a ledger host "a" and a ledger host "b" over one store
    When work "rig-1" under key "k" is done through ledger host "a"
    And the store is unreachable from ledger host "b"
    And work "rig-1" under key "k" is done through ledger host "b"
    Then the last ledger answer is "ledger_unavailable" with ran "may_have_run", this attempt "not_run" and earlier attempt "unknown"
    And the last ledger answer has a retry delay

  Scenario: work that was never sent releases its key
    Given a ledger host "a" and a ledger host "b" over one store
    When work "rig-1" under key "k" finds no backend server at ledger host "a"
    Then the last ledger answer is "no_route" with ran "not_run", this attempt "not_run" and earlier attempt "none"
    When work "rig-1" under key "k" is done through ledger host "b"
    Then the ledger work under "k" ran 1 time
    And the last ledger answer is the new outcome of "rig-1"

  Scenario: a key that is being released does not run before it is free
    Given a ledger host "a" and a ledger host "b" over one store
    When ledger host "a" begins to release key "k" and work "rig-1" under it starts through ledger host "b"
    Then the ledger work under "k" ran 0 times
    When ledger host "a" releases key "k"
    Then the ledger work under "k" ran 1 time
    And the last ledger answer is the new outcome of "rig-1"

  Scenario: a release succeeds after the reply to its mark was lost
    Given a ledger host "a" and a ledger host "b" over one store
    When work "other" under key "early" is done through ledger host "a"
    And ledger host "a" loses the reply to its mark on key "k" and releases it
    And work "rig-1" under key "k" is done through ledger host "b"
    Then the ledger work under "k" ran 1 time
    And the last ledger answer is the new outcome of "rig-1"

  Scenario: a key is refused if its holder failed while releasing it
    Given a ledger host "a" and a ledger host "b" over one store
    When ledger host "a" begins to release key "k" and never completes
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

  Scenario: a host that was frozen between its claim and the first byte neither runs nor blocks the key
    Given a ledger host "a" and a ledger host "b" over one store
    When work "rig-1" under key "k" is frozen at ledger host "a" before its first byte for 70000 ms
    Then the last ledger answer is "deadline_exceeded" with ran "not_run", this attempt "not_run" and earlier attempt "none"
    And the ledger work under "k" ran 0 times
    When work "rig-1" under key "k" is done through ledger host "b"
    Then the ledger work under "k" ran 1 time

  Scenario: a claim whose reply was lost is read back
    Given a ledger host "a" and a ledger host "b" over one store
    When work "other" under key "early" is done through ledger host "a"
    And the store loses its next reply to ledger host "a"
    And work "rig-1" under key "k" is done through ledger host "a"
    Then the last ledger answer is the new outcome of "rig-1"
    And the ledger work under "k" ran 1 time

  Scenario: work whose answer is too large to store does not run again
    Given a ledger host "a" and a ledger host "b" over one store
    When work "huge" under key "k" is done through ledger host "a"
    And work "huge" under key "k" is done through ledger host "b"
    Then the ledger work under "k" ran 1 time
    And the last ledger answer is "outcome_not_kept" with ran "may_have_run", this attempt "not_run" and earlier attempt "finished"

  Scenario: a claim is kept for the retention time, even if that was raised in the meantime
    Given a ledger host "a" and a ledger host "b" over one store
    When work "other" under key "early" is done through ledger host "a"
    And the retention of the ledger is raised to 86400000 ms
    And work "rig-1" under key "k" is done through ledger host "a"
    And the ledger clock advances by 86300000 ms
    And work "rig-1" under key "k" is done through ledger host "b"
    Then the ledger work under "k" ran 1 time
    And the last ledger answer is the replayed outcome of "rig-1"

  Scenario: a claim whose replies were all lost is withdrawn
    Given a ledger host "a" and a ledger host "b" over one store
    When work "other" under key "early" is done through ledger host "a"
    And the store loses its next 2 replies to ledger host "a"
    And work "rig-1" under key "k" is done through ledger host "a" and all its releases complete
    Then the last ledger answer is "ledger_unavailable" with ran "may_have_run", this attempt "not_run" and earlier attempt "unknown"
    When work "rig-1" under key "k" is done through ledger host "b"
    Then the last ledger answer is the new outcome of "rig-1"

  Scenario: a release whose reply was lost does not delete the next claim
    Given a ledger host "a" and a ledger host "b" over one store
    When ledger host "a" releases key "k", loses the reply, and ledger host "b" claims it before the next try
    And the ledger clock advances by 1000 ms
    And work "rig-1" under key "k" is done through ledger host "a"
    Then the last ledger answer is "earlier_attempt_running" with ran "may_have_run", this attempt "not_run" and earlier attempt "running"
