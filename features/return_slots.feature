Feature: Retry-After times
  Clients that are refused for lack of capacity get different times to retry, at which there will be
  capacity.

  Scenario: many clients that are refused within a second return one after the other
    Given a host at which 10 streams have begun in each of the last 3 s
    When 15 clients are refused within 1 s
    Then each is told to retry after 1000 to 5000 ms
    And no more than 6 of them return within any second
    And the clients return in the order of their refusals

  Scenario: a single client returns as soon as the queue has been served
    Given a host at which 10 streams have begun in each of the last 3 s
    When 1 clients are refused within 1 s
    Then each is told to retry after 1000 to 1000 ms

  Scenario: at a very low start rate the time to retry stays below its limit
    Given a host at which 0 streams have begun in each of the last 3 s
    When 15 clients are refused within 1 s
    Then each is told to retry after 1000 to 5000 ms
