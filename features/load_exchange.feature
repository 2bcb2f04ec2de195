Feature: load exchange
  Checks what each host knows of the load of all others and how many requests that takes, without a network.

  Scenario: every host knows the load of the whole site
    Given 3 failure domains of 8 hosts, each with one request at the same replica
    When 3 rounds of the exchange pass
    Then every host counts 24 requests there

  Scenario: the number of requests is linear in the number of hosts
    Given 3 failure domains of 25 hosts, each with one request at the same replica
    When 3 rounds of the exchange pass
    Then a round takes at most 78 requests, 3 of them between failure domains
    And every host counts 75 requests there

  Scenario: the relay of a failure domain fails
    Given 3 failure domains of 8 hosts, each with one request at the same replica
    When 3 rounds of the exchange pass
    And the relay of a failure domain stops answering
    And 12 rounds of the exchange pass
    Then every live host counts 23 requests there
    And every host counts 24 requests once it answers again

  Scenario: a failure domain is partitioned from the others
    Given 3 failure domains of 8 hosts, each with one request at the same replica
    When 3 rounds of the exchange pass
    And a failure domain is cut off from the others
    And 12 rounds of the exchange pass
    Then its hosts count 8 requests there and the others 16
    And every host counts 24 requests once the cut is over

  Scenario: the end of a request reaches every host
    Given 3 failure domains of 8 hosts, each with one request at the same replica
    When 3 rounds of the exchange pass
    And one host's request ends
    And 3 rounds of the exchange pass
    Then every host counts 23 requests there

  Scenario: an undecodable request is answered with an error and changes nothing
    Given 3 failure domains of 8 hosts, each with one request at the same replica
    When 3 rounds of the exchange pass
    And a host receives an undecodable request
    Then every host counts 24 requests there
