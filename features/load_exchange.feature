Feature: exchange of loads
  What each host knows of the work of all others, and what the exchange costs, without a network.

  Scenario: every host knows the work of the whole site
    Given 3 failure domains of 8 hosts, each with one request at the same replica
    When 3 rounds of questions pass
    Then every host counts 24 requests there

  Scenario: the exchange grows with the hosts and not with their pairs
    Given 3 failure domains of 25 hosts, each with one request at the same replica
    When 3 rounds of questions pass
    Then a round takes at most 78 questions, 3 of them between failure domains
    And every host counts 75 requests there

  Scenario: the host that passes loads on is gone
    Given 3 failure domains of 8 hosts, each with one request at the same replica
    When 3 rounds of questions pass
    And the first host of a failure domain gives no answer
    And 12 rounds of questions pass
    Then every host that lives counts 23 requests there
    And every host counts 24 requests once it answers again

  Scenario: a failure domain is cut off
    Given 3 failure domains of 8 hosts, each with one request at the same replica
    When 3 rounds of questions pass
    And a failure domain is cut off from the others
    And 12 rounds of questions pass
    Then its hosts count 8 requests there and the others 16
    And every host counts 24 requests once the cut is over

  Scenario: a host that ends its work is soon counted without it
    Given 3 failure domains of 8 hosts, each with one request at the same replica
    When 3 rounds of questions pass
    And one host's request ends
    And 3 rounds of questions pass
    Then every host counts 23 requests there

  Scenario: a question that can't be read is answered with an error and changes nothing
    Given 3 failure domains of 8 hosts, each with one request at the same replica
    When 3 rounds of questions pass
    And a host gets a question of bytes that mean nothing
    Then every host counts 24 requests there
