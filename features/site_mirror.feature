Feature: a host's copy of the store
  Each host follows the store by itself, or through other hosts while the store does not answer it.

  Scenario: the revision of a copy never falls
    Given a copy at revision 10
    When a reading of revision 8 and a change of revision 9 come late
    Then the copy still shows revision 10

  Scenario: a host that is behind gets just what changed, or everything when the history does not reach
    Given a copy with 3 changes after revision 10
    Then a host at revision 11 is told of 2 changes
    And a host at revision 5 is told everything
    And either one has the same keys in the end

  Scenario: a key that was removed while a host was behind is removed there too
    Given a copy with a key that was removed after revision 10
    Then a host at revision 10 no longer has it once it was told

  Scenario: a replica whose record lapsed in an outage of the store is kept for 2 s
    Given a view of a site with one replica
    When the store answers again after an outage and the replica's record is missing
    Then the replica is still used
    And it is gone 2 s later

  Scenario: a replica whose record comes back after an outage stays
    Given a view of a site with one replica
    When the store answers again after an outage and the replica's record is missing
    And the record comes back within 2 s
    Then the replica is still used 3 s later

  Scenario: a replica whose record goes while the store answers is gone at once
    Given a view of a site with one replica
    When the replica's record goes while the store answers
    Then the replica is gone

  Scenario: a record that can't be read names no replica, and the others hold
    Given a view of a site with one replica
    When records of other writers come: bytes, missing fields, wrong types, an unknown state
    Then just the one replica is known

  Scenario: an older configuration never replaces a newer one
    Given a view of a site at configuration 7
    When configuration 6 comes at a higher revision
    Then configuration 7 is in force

  Scenario: a host that is no watcher learns through one, and asks the store when it can't
    Given a failure domain of five hosts, two of which may watch the store
    When a host that doesn't watch follows for a while
    Then it has the watcher's keys without a call to the store
    And it reads the store itself once the watchers don't answer

  # Guards against a failure domain whose hosts all ask the store at once as one of them is lost.
  Scenario: the next host in rank watches the store for the others where the first gives no word
    Given a failure domain of five hosts, two of which may watch the store
    When the first watcher gives no word, and each of the others follows for a while
    Then the next one in rank has read the store, and has kept to a watch
    And the others have its keys without a call to the store
    And it follows the first again once that has given word

  # Guards against a planned stop that ends with the copy of the store as it was when it began.
  Scenario: the last host of a failure domain watches the store while it leaves
    Given a failure domain of five hosts, two of which may watch the store
    When all of them leave, and one that hasn't watched follows for a while
    Then it has read the store and watches it

  Scenario: a host that took itself for a watcher stops once it knows the others
    Given a failure domain of five hosts, two of which may watch the store
    And the host knew of no other one when it began to watch
    When it learns of the others
    Then it no longer watches the store, and has the watcher's keys

  Scenario Outline: a store that doesn't answer is asked less and less often
    Given a failure domain of five hosts, two of which may watch the store
    And the store and the other hosts don't answer
    When a host that <duty> follows for 10 s of its clock
    Then it has read the store at least <least> times and at most <most> times
    And it reads the store within <back> ms of its return

    Examples:
      | duty          | least | most | back |
      | watches       | 14    | 28   | 850  |
      | doesn't watch | 4     | 12   | 3400 |

  # Guards against calls to the store that grow with the site, and against hosts that can't be found after an outage.
  Scenario: a host's record is renewed seldom, and made anew soon where an outage has ended it
    Given a host that keeps its record in the store
    When 60 s of its clock pass
    Then the record is there, after at most 12 calls to the store
    When an outage of 3 s ends all leases
    Then the record is there within 2 s of its end, after at most 20 calls
