Feature: late and duplicate responses
  A response that arrives late or twice is never delivered to another request.

  Scenario: a server sends each response twice, the second time late
    Given a server that sends each response again 30 ms later
    When 40 requests are made one after the other, 5 at a time
    Then each has its own response, on its own connection

  Scenario: another host answers a request after its caller timed out
    Given a host that answers its first request 300 ms late and all others at once
    When it gets a request with a timeout of 100 ms on kept connections, 6 times
    Then the first request has no response, and each other one has its own
