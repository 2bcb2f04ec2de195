Feature: key-value service
  The client of the key-value service says truly whether a write may have taken effect, and the
  stand-in behaves as the published gateway does.

  Scenario: transactions compare revisions
    Given a key-value stand-in
    When the store client creates "a/1" as "x" if absent
    Then the store client's transaction succeeded
    When the store client creates "a/1" as "y" if absent
    Then the store client's transaction failed and showed "a/1" as "x"
    When the store client removes "a/1" at the revision that it read
    Then the store client reads no key under "a/"

  Scenario: a transaction counts as one call, and keys can be read without values
    Given a key-value stand-in
    When the store client writes 30 keys under "b/" in one transaction
    Then the store client reads 30 keys under "b/", all of one revision
    And reading the keys alone under "b/" gives 30 empty values
    And the stand-in counted 1 transactions and 2 reads

  Scenario: a lease lapses with its keys and a renewal keeps it
    Given a key-value stand-in
    When the store client holds a lease of 1 s on key "l/1" and renews it for 2 s
    Then the key "l/1" is still there
    When the store client stops renewing
    Then the key "l/1" is gone within 2 s
    And renewing the lease says that it has lapsed

  Scenario: a watch reports each change once, also after a reconnect
    Given a key-value stand-in
    When a watch on "w/" is open and 40 writes with two restarts of the watch are made
    Then the watch reported every write once and in order
    And the stand-in shows no open watch

  Scenario: a watch that starts before the kept history says so
    Given a key-value stand-in that keeps 20 events
    When the store client writes 60 single keys under "h/"
    Then a watch on "h/" from revision 2 ends with a fault that names the kept history

  Scenario Outline: an outage is told apart from a write that may have taken effect
    Given a key-value stand-in
    When the stand-in's faults are '<faults>'
    And the store client creates "o/1" as "x" if absent
    Then the store client's write <outcome>
    When the stand-in's faults are '{}'
    Then "o/1" is <state>

    Examples:
      | faults                                      | outcome               | state   |
      | {"down": true, "down_mode": "refuse"}       | did not take effect   | absent  |
      | {"down": true, "down_mode": "reset"}        | may have taken effect | absent  |
      | {"down": true, "down_mode": "silent"}       | may have taken effect | absent  |
      | {"lose_replies": 1}                         | may have taken effect | present |
      | {"reply_delay_ms": 5000}                    | may have taken effect | present |
      | {"writes_per_s": 0.001, "lose_replies": 0}  | succeeded             | present |

  Scenario: calls above the rate are refused and did nothing
    Given a key-value stand-in
    When the stand-in's faults are '{"writes_per_s": 20}'
    And 30 writes are made at once under "r/"
    Then some were refused as not applied, and the keys under "r/" are just the others

  Scenario: a restored service runs its revision backwards and drops watches
    Given a key-value stand-in
    When the store client writes 5 single keys under "s/"
    And the stand-in takes a snapshot
    And the store client writes 7 single keys under "t/"
    And a watch is open while the stand-in is restored
    Then the watch ended and the revision is 7 lower
    And a watch from the old revision tells the lower revision first

  Scenario: with one end point gone the other answers, and a write is never sent twice
    Given a key-value stand-in
    When the store client uses a dead end point before the live one
    And the store client creates "e/1" as "x" if absent
    Then the store client's transaction succeeded
    When the stand-in's faults are '{"lose_replies": 1}'
    And the store client creates "e/2" as "x" if absent through two names of the live end point
    Then the store client's write may have taken effect
    And the stand-in counted 2 transactions in all

  Scenario: a relay carries, cuts, goes silent and swallows
    Given a key-value stand-in behind a relay
    Then a read through the relay succeeds
    When a watch through the relay is open and the relay goes silent
    Then that watch ends by silence while a read through the relay succeeds
    When the relay swallows new connections
    Then a read through the relay fails in time
    When the relay is cut
    Then a read through the relay fails at once
    When the relay is mended with a delay of 80 ms
    Then a read through the relay takes at least 160 ms

  Scenario: a relay hands a reset on
    Given a key-value stand-in behind a relay
    When a watch through the relay is open and the stand-in is restored
    Then that watch ends within 500 ms, not by silence
