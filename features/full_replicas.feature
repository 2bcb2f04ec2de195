Feature: full replicas
  A host's estimate of a replica's memory use is delayed; a refusal for lack of capacity shows that
  it is full.

  Scenario: a replica that refused for lack of capacity gets a request in place of one that has ended
    Given a replica that seems half full with 10 requests and refuses one for lack of capacity
    Then 400 ms later there is no path for a request of that size
    When one of the 10 requests ends there
    Then there is a path for a request of that size

  Scenario: the load inferred from a refusal expires
    Given a replica that seems half full with 10 requests and refuses one for lack of capacity
    Then 1600 ms later there is a path for a request of that size

  Scenario: a replica that stalled a request does not count as full
    Given a replica that seems half full with 10 requests and refuses one after it has stalled
    Then no load is inferred
