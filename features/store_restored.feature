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
