Feature: peers
  Entry hosts discover each other, detect failed hosts and replicate small shared state.

  Scenario: a killed host is known to be gone and a stopped one was never suspected
    Given 5 peer nodes that all know each other
    When node 2 is killed
    Then every other node holds node 2 to be gone within 6 s
    When node 3 is asked to stop
    Then every other node holds node 3 to be gone within 1 s
    And no node ever suspected node 3
    And each failure domain has the watchers that its live hosts allow

  Scenario: a published entry reaches all hosts within a second in a mesh of bounded degree
    Given 16 peer nodes that all know each other
    Then no node has more than 12 links
    When node 7 publishes 20 urgent entries of 100 bytes
    Then every other node has received each of them exactly once within 1 s
    When node 9 is killed
    Then every other node holds node 9 to be gone within 6 s

  Scenario: a listed host that refuses links still lets the other hosts discover each other
    Given 14 peer nodes of which node 1 refuses all links and is the only one listed
    Then all nodes hold all to be alive within 10 s

  Scenario: a peer that reconnects is sent only the changes it lacks
    Given 3 peer nodes that all know each other
    When node 1 publishes 200 urgent entries of 1000 bytes
    And the link between nodes 1 and 2 is lost and restored
    Then node 1 sent fewer than 20 records for it

  Scenario: a short freeze raises no suspicion and a long one is refuted
    Given 5 peer nodes that all know each other
    When node 4 is frozen for 1.2 s
    Then no node ever suspected any node
    When node 4 is frozen for 7 s
    Then every other node held node 4 to be gone meanwhile
    And all nodes hold all to be alive within 6 s
    And no node ever suspected any node but node 4

  Scenario: a host that was frozen does not act on its outdated suspicions
    Given 4 peer nodes that all know each other
    When node 2 is frozen until node 4 suspects it, then resumes as node 4 is frozen
    And node 4 resumes after node 2 was held to be alive and node 4 to be gone
    Then all nodes hold all to be alive within 6 s
    And node 4 never held node 2 to be gone

  Scenario: a host restarted at the same address is recognised as a new boot
    Given 4 peer nodes that all know each other
    When node 2 is killed and started again at once, its clock an hour behind
    Then every other node holds node 2 to be alive under a new boot id within 4 s
    And what node 2 publishes now is received by all, though it published before

  Scenario: partitioned failure domains keep working and merge again after the partition heals
    Given 6 peer nodes behind relays that all know each other
    When the failure domain of node 1 is cut off from the others
    Then each side holds the other to be gone and its own to be alive within 8 s
    And what a node publishes now is received only on its own side
    When the cut heals
    Then all nodes hold all to be alive within 12 s
    And what was published in the cut is received on both sides

  Scenario: one broken path and packet loss raise no suspicion
    Given 6 peer nodes behind relays that all know each other
    When the path from node 1 to node 2 alone is cut in both directions
    And one message in five is lost for 8 s
    Then no node ever suspected any node

  Scenario: random bytes on the peer port do no harm
    Given 2 peer nodes that all know each other
    When 150 connections send random bytes and malformed messages to node 1
    Then the log of node 1 names code 1001
    And node 1 has no additional member and its memory grew by less than 8 MB
    And no node ever suspected node 1
    And no node ever suspected node 2
    And node 2 answers a request of 1048576 bytes
