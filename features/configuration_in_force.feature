Feature: a configuration is in force at every host in touch within 2 s
  Whatever happens to the hosts through which others follow the store.

  # Guards against hosts that serve and refuse by an old configuration, as they trust the copy of a
  # watcher that is cut off from the store for longer than a change may take.
  Scenario Outline: changes are in force in time while <fault>
    Given a site of <domains> failure domains of <hosts> hosts that follow the store
    When configurations change at <phases> moments around a fault: <fault>
    Then each was in force within 2 s at every host that reached the store
    And no host that lacked one took its copy for current

    Examples:
      | domains | hosts | phases | fault                                            |
      | 3       | 5     | 30     | nothing is wrong                                 |
      | 3       | 5     | 30     | a watcher is cut off from the store              |
      | 3       | 5     | 30     | a watcher is killed                              |
      | 3       | 5     | 30     | both watchers of a domain are cut off            |
      | 3       | 5     | 30     | both watchers of a domain are killed             |
      | 3       | 5     | 30     | one watcher is cut off and the other is killed   |
      | 3       | 100   | 2      | a watcher is cut off from the store              |
      | 3       | 100   | 2      | both watchers of a domain are killed             |

  # Guards against copies that count as fresh for the time that an answer took to arrive, or because
  # a watch was begun.
  Scenario Outline: a copy is no fresher than what the store has confirmed while <fault>
    Given a site of <domains> failure domains of <hosts> hosts that follow the store
    When configurations change at <phases> moments around a fault: <fault>
    Then no copy counted as confirmed before the store had confirmed it

    Examples:
      | domains | hosts | phases | fault                                                 |
      | 3       | 5     | 30     | nothing is wrong                                      |
      | 3       | 5     | 30     | a watcher is cut off from the store                   |
      | 3       | 5     | 30     | both watchers of a domain are killed                  |
      | 3       | 5     | 30     | a whole read takes 1.2 s, and the store is lost after it |
      | 3       | 5     | 30     | replies of other hosts take 250 ms                    |

  # Guards against the same in series of faults that overlap, for hosts that met none themselves for 3 s.
  Scenario: changes are in force in time at every host in touch while faults come in series
    Given a site of 3 failure domains of 6 hosts that follow the store
    When 12 seeds of faults are played for 40 s each, with a change each 0.4 s
    Then each was in force within 2 s at every host that had met no fault for 3 s
    And no host that lacked one took its copy for current
