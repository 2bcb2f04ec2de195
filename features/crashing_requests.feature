Feature: requests that crash the replicas that run them
  Such a request comes again, with the same path, caller and body, at any gateway. Three replicas are the
  most that may end under it.

  # Guards against crashes that nobody holds against the request, so that it is sent on without end.
  Scenario Outline: a request that crashes <what> is refused after three crashes
    Given a site of two gateways, eight replicas and a store
    When a request that crashes <what> is sent 8 times through both gateways
    Then at most 3 replicas have crashed and the request is refused from then on
    And both gateways serve reads and streams again

    Examples:
      | what                                         |
      | its first replica, with a reset              |
      | its first replica, which falls silent        |
      | the last replica of its path                 |
      | a plain replica, with a reset                |
      | a plain replica, which falls silent          |

  # Guards against callers that leave before the crash is known: it was held against nobody.
  Scenario: a request that crashes its first replica is refused though its caller leaves each time
    Given a site of two gateways, eight replicas and a store
    When a request that crashes its first replica, which falls silent is sent 6 times by a caller that leaves after 300 ms
    Then at most 3 replicas have crashed and the request is refused from then on

  # Guards against convictions that are forgotten where each host of a site has started anew.
  Scenario: a request that crashes its replicas stays refused while the gateways are killed in turn
    Given a site of two gateways, eight replicas and a store
    When a request that crashes its first replica, with a reset is sent 8 times while the gateways are killed in turn
    Then at most 3 replicas have crashed and the request is refused from then on

  # Guards against convictions that are lost when all hosts lose power at once.
  Scenario: a request that crashes its replicas stays refused after all gateways were killed at once
    Given a site of two gateways, eight replicas and a store
    When a request that crashes its first replica, with a reset is sent 4 times through both gateways
    And all gateways are killed and started
    And a request that crashes its first replica, with a reset is sent 4 times through both gateways
    Then at most 3 replicas have crashed and the request is refused from then on
