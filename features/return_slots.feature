Feature: times to come back
  Clients that are refused for want of room are told times at which there will be some, each another one.

  Scenario: a crowd that is refused within a second comes back one after the other
    Given a host at which 10 streams have begun in each of the last 3 s
    When 15 clients are refused within 1 s
    Then each is told to come back after 1000 to 5000 ms
    And no more than 6 of them come back within any second
    And who was refused first comes back first

  Scenario: a single client comes back as soon as what waits has been served
    Given a host at which 10 streams have begun in each of the last 3 s
    When 1 clients are refused within 1 s
    Then each is told to come back after 1000 to 1000 ms

  Scenario: where hardly a stream begins nobody is told more than some streams' time
    Given a host at which 0 streams have begun in each of the last 3 s
    When 15 clients are refused within 1 s
    Then each is told to come back after 1000 to 5000 ms
