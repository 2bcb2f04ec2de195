Feature: a host's mirror of the store
  Each host follows the store itself, or through other hosts while it can't reach the store.

  Scenario: the revision of a mirror never decreases
    Given a mirror at revision 10
    When a snapshot of revision 8 and a change of revision 9 arrive late
    Then the mirror still shows revision 10

  Scenario: a host that is behind gets only the changes, or all keys if the history is too short
    Given a mirror with 3 changes after revision 10
    Then a host at revision 11 gets 2 changes
    And a host at revision 5 gets all keys
    And both have the same keys in the end

  Scenario: a key that was removed while a host was behind is removed there too
    Given a mirror with a key that was removed after revision 10
    Then a host at revision 10 no longer has it after an update

  # Guards against a key that is missing until its next write, as it was removed and written again
  # within one batch of a watch, or that stays although it was removed.
  Scenario Outline: a mirror equals the store whatever <store> reports together
    When 300 drawn histories of <store> are reported in drawn batches, each in a drawn order
    Then the mirror equals the store after each batch, and so does that of a host which follows it

    Examples:
      | store               |
      | the platform's store |
      | the own store        |

  Scenario: a replica whose record expired in a store outage is kept for 2 s
    Given a view of a site with one replica
    When the store answers again after an outage and the replica's record is missing
    Then the replica is still used
    And it is gone 2 s later

  # Guards against work for a replica that left more than drain_ms ago, as the watch was cut when it did.
  Scenario Outline: a replica whose record is missing after <gap_ms> ms without a word of the store is <what>
    Given a view of a site with one replica
    When the store answers again after <gap_ms> ms and the replica's record is missing
    Then the replica is <what>

    Examples:
      | gap_ms | what       |
      | 40     | gone       |
      | 2000   | gone       |
      | 2400   | still used |

  # Guards against the same on a site: a cut watch was taken for an outage of the store.
  Scenario Outline: a replica that leaves as <what> gets no work later than drain_ms
    Given hosts of three failure domains that follow the store, and six replicas
    When a replica leaves by the removal of its record as <what>
    Then no host sends it work later than 1.5 s after that, and the others are used all the while

    Examples:
      | what                                 |
      | nothing else happens                 |
      | the watches are cut                  |
      | the watches are cut again and again  |

  # Guards against a departure that the followers of a watcher never hear of, as it was written while
  # the watcher read the store in pages.
  Scenario Outline: a replica that leaves as <what> between two pages of a read gets no work later than drain_ms
    Given hosts of three failure domains that follow the store, and six replicas
    And the store gives pages of 2 items
    When the watches are cut, and between two pages of the read after that <what>
    Then no host sends it work later than 1.5 s after that, and the others are used all the while
    And all hosts have the same keys as the store

    Examples:
      | what                                                    |
      | its record says draining                                |
      | its record is removed                                   |
      | its record says draining and others are written         |
      | its record is removed and others are written            |
      | its record says draining and then is removed            |
      | others are written and its record says draining         |
      | others are written and its record is removed            |
      | its record says draining and the history is forgotten   |
      | its record is removed and the history is forgotten      |
      | its record says draining and the watcher is lost        |
      | its record is removed and the watcher is lost           |
      | the store returns from a copy and its record says draining |

  # Guards against a host that lacks a change from before its revision, whoever it has its keys from.
  Scenario: a mirror has all changes up to its revision, wherever they come from
    When 2000 drawn histories reach three hosts by reads in pages, watches and each other
    Then at each moment each host has every change up to its revision, and none that never was

  # Guards against hosts that lose all replicas as the store returns and the records have lapsed.
  Scenario Outline: replicas whose records lapsed while the store was away for <away_s> s are kept by every host
    Given hosts of three failure domains that follow the store, and six replicas
    When the store is away for <away_s> s, and the records of all replicas lapse in that time
    Then every host uses them for 1.5 s after its return, and for good those that write again by then

    Examples:
      | away_s |
      | 4      |
      | 9      |

  Scenario: a replica whose record is written again after an outage stays
    Given a view of a site with one replica
    When the store answers again after an outage and the replica's record is missing
    And the record is written again within 2 s
    Then the replica is still used 3 s later

  Scenario: a replica whose record is removed while the store is available is gone immediately
    Given a view of a site with one replica
    When the replica's record is removed while the store is available
    Then the replica is gone

  Scenario: a record that can't be decoded is ignored, and the others stay valid
    Given a view of a site with one replica
    When records of other writers arrive: bytes, missing fields, wrong types, an unknown state
    Then only the one replica is known

  Scenario: an older configuration never replaces a newer one
    Given a view of a site at configuration 7
    When configuration 6 arrives at a higher revision
    Then configuration 7 is in force

  Scenario: a host that is not a watcher follows one, and reads the store if no watcher responds
    Given a failure domain of five hosts, two of which may watch the store
    When a host that doesn't watch follows for a while
    Then it has the watcher's keys without a call to the store
    And it reads the store itself once the watchers don't answer

  # Guards against all hosts of a failure domain reading the store at once when their watcher is lost.
  Scenario: the next host in rank watches the store for the others if the first doesn't respond
    Given a failure domain of five hosts, two of which may watch the store
    When the first watcher doesn't respond, and each of the others follows for a while
    Then the next one in rank has read the store, and watches it
    And the others have its keys without a call to the store
    And it follows the first again once that responds

  # Guards against a mirror that is not updated during a planned stop.
  Scenario: the last host of a failure domain watches the store while it leaves
    Given a failure domain of five hosts, two of which may watch the store
    When all of them leave, and one that hasn't watched follows for a while
    Then it has read the store and watches it

  Scenario: a host that considered itself a watcher stops watching once it knows the others
    Given a failure domain of five hosts, two of which may watch the store
    And the host knew no other hosts when it began to watch
    When it learns of the others
    Then it no longer watches the store, and has the watcher's keys

  Scenario Outline: a store that doesn't respond is read with increasing delays
    Given a failure domain of five hosts, two of which may watch the store
    And the store and the other hosts don't respond
    When a host that <duty> follows for 10 s of its clock
    Then it has read the store at least <least> times and at most <most> times
    And it reads the store within <back> ms after it is available again

    Examples:
      | duty          | least | most | back |
      | watches       | 14    | 28   | 850  |
      | doesn't watch | 4     | 12   | 3400 |

  # Guards against store calls that grow with the site, and against hosts that can't be found after an outage.
  Scenario: a host's record is renewed rarely, and written again soon after an outage expired it
    Given a host that keeps its record in the store
    When 60 s of its clock pass
    Then the record exists, after at most 12 calls to the store
    When an outage of 3 s expires all leases
    Then the record exists within 2 s of its end, after at most 20 calls
