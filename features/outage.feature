Feature: outage of the platform
  A site that is cut from the platform serves what it can, and nothing reverts or doubles when it heals.

  Scenario: key-value service and host list are out of reach, then come back
    Given a small site with three entry hosts
    And a reservation "before" was made through entry host 0
    When the key-value service and the host list go down
    Then generations and lookups are whole through each entry host
    And a new reservation "during" is refused at once through entry host 1, told that this attempt ran nothing
    And a re-send of "before" through entry host 2 is not told not_run
    When the platform comes back and a file of the folder is changed
    Then the change is in force on each entry host within 5000 ms and no revision fell
    And reservations "before" and "during" each ran once after being sent again

  Scenario: an entry host that starts while the key-value service is down learns the configuration
    Given a small site with three entry hosts
    And entry host 2 is killed
    When the key-value service goes down and entry host 2 is started again
    Then entry host 2 serves a generation, with the configuration from a peer

  Scenario: a workspace's rate holds over all entry hosts together
    Given a small site whose workspace "lab" may make 20 requests a second
    When it sends 60 requests a second for 6 s, evenly over the three entry hosts
    Then at most 22 requests a second are let through over the last 4 s
    And each refusal came at once, with when to come back
