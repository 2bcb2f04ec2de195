Feature: a store that returns from an older copy
  The store may be away for a moment and come back from a copy some seconds old. What was written since is
  gone, its revisions are given out again, and its era rises by one.

  # Guards against hosts that serve by an old configuration for good, as they take the restored store's
  # answers for old ones.
  Scenario Outline: hosts follow the store after it returns, <case>
    Given a site of 3 failure domains of 5 hosts that follow the store
    When the store returns from a copy and configurations change after it, <case>
    Then each was in force within 2 s at every host that reached the store
    And no host that lacked one took its copy for current
    And no host went back to an earlier configuration
    And every host has what the store holds

    Examples:
      | case                                      |
      | once                                      |
      | twice                                     |
      | while a watcher is cut off                |
      | while a host that doesn't watch is killed |
      | while a change is under way               |
      | after it was away for 4 s                 |
      | from a copy that has all                  |

  # Guards against replicas that are taken for gone, or back, only since the copy lacks their last words.
  Scenario: what replicas said after the copy was made holds until they can have said it again
    Given a host with replicas r1, r2 and r3, whose store has been copied
    When r1 announces that it leaves, r2 joins late, r3 is gone, and the store returns from the copy
    Then r1 gets no new work, r2 gets work, and r3 doesn't
    When r1 and r2 write their records again after 1.5 s
    Then r1 gets no new work, r2 gets work, and r3 doesn't
    And 2 s after the return what the store holds of r3 counts

  # Guards against an era that can't be read being taken for a new one.
  Scenario Outline: an era that is <odd> changes nothing and is logged once
    Given a store's adapter that has seen era 3
    When five answers come with the era "<era>"
    Then the adapter's era is 3, and it has logged <lines> line

    Examples:
      | odd          | era   | lines |
      | missing      |       | 1     |
      | no number    | three | 1     |
      | negative     | -4    | 1     |
      | not ASCII    | ٣     | 1     |
      | endless      | 99999999999999999999 | 1 |
      | falling      | 2     | 1     |

  # Guards against a lease that is taken for held because its id was given out to another host.
  Scenario: a lease that the copy lacks has ended, although its id is given out again
    Given two hosts at a store that has been copied
    When one of them gets a lease, the store returns, and the other one gets a lease with the same id
    Then the first host's lease has ended, and it can't write by it or end the other one
    And a transaction after the return has a higher fencing number than one before it

  # Guards against keys that last as long as another host's lease: a duty with such a key has no holder.
  Scenario: a transaction under way over the return leaves no key at another host's lease
    Given two hosts at a store that has been copied
    When one of them gets a lease, the store returns, and the other one gets a lease with the same id
    Then what the first host writes by its lease, not knowing of the return, fails and is not kept
    And the other host's keys are kept

  # Guards against a host that stops just after the return and ends another host's lease.
  Scenario: a lease that is ended over the return is not another host's
    Given two hosts at a store that has been copied
    When one of them gets a lease, the store returns, and the other one gets a lease with the same id
    And the first host ends its lease, not knowing of the return
    Then the other host's keys are kept

  # Guards against duties with two holders, and against orders that engines refuse for good, as their
  # fencing numbers fell.
  Scenario Outline: one host at a time places layers over a return of the store, <case>
    Given a site of 3 failure domains of 5 hosts that follow the store, register and place layers
    When the store returns from a copy that <case>
    Then no two hosts could order at the same time
    And one host places layers at most <limit> ms after the return, with a higher fencing number

    Examples:
      | case                                   | limit |
      | has the holder's lease                 | 7000  |
      | lacks the holder's lease               | 7000  |
      | lacks it, while the holder is cut off  | 7000  |
      | lacks it, while the holder is cut off and another host starts | 7000 |
      | lacks it, while the holder hands it over | 7000 |

  # Guards against hosts that can't be found after a return, and against all of them writing at once.
  Scenario Outline: what hosts wrote is in the store again within 2 s of its return
    Given a site of <domains> failure domains of <hosts> hosts that follow the store and register
    When the store returns from a copy that has none of their records
    Then all records are there within 2 s, by at most <peak> writing calls in any second

    Examples:
      | domains | hosts | peak |
      | 3       | 5     | 60   |
      | 3       | 100   | 800  |

  # Guards against refused requests that run again, as the store has forgotten why they are refused.
  Scenario: what is known of crashing requests is in the store again after its return
    Given a host that has stored three crashes of a request and taken its trial, at a copied store
    When the store returns from the copy
    Then the host has written the crashes and the trial again within 100 ms
    And no other host takes a trial of the request in the 2 s after the return, or that one after it

  # Guards against replicas that refuse the orders after a return, and hosts that don't serve what is new.
  Scenario: a site of real processes goes on after its store has returned from a copy
    Given a site of two gateways, eight replicas and a store
    When the store returns from a copy made before the last configuration, and that is written again
    And the configuration gets a new route
    Then both gateways serve the new route within 2 s
    When the replicas of a copy of the model restart empty
    Then both gateways serve streams again, and the replicas were ordered under a higher fencing number
