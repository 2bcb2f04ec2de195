Feature: full replicas
  What a host reckons of a replica's memory comes late; a refusal for want of room says that it is full.

  Scenario: a replica that refused for want of room gets a request in the place of one that ended there
    Given a replica that seems half full with 10 requests and refuses one for want of room
    Then 400 ms later there is no path for a request of that size
    When one of the 10 requests ends there
    Then there is a path for a request of that size

  Scenario: a refusal is forgotten with time
    Given a replica that seems half full with 10 requests and refuses one for want of room
    Then 1600 ms later there is a path for a request of that size

  Scenario: a replica that stalled a request is not taken for full
    Given a replica that seems half full with 10 requests and refuses one after it has stalled
    Then nothing is taken for hidden load
