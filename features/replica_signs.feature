Feature: departure notices and hold-offs in the answers of replicas
  A replica announces its departure or asks to hold off. The scenarios check which requests still reach it.

  # Guards against routing to a leaving replica whose record in the store doesn't show that yet.
  Scenario Outline: <what> that announces its departure in its answers gets no requests after 2 s
    Given a site of two gateways, eight replicas and a store
    When the store is <store>, and <what> announces its departure in its answers
    And requests are sent until one of its answers is forwarded
    Then no request reaches it from 2 s to 4 s after that, and all requests are served
    And both gateways count leaving_signs

    Examples:
      | what                          | store  |
      | a plain replica               | up     |
      | a plain replica               | down   |
      | the first replica of streams  | up     |
      | the first replica of streams  | down   |

  # Guards against routing to a leaving replica by a gateway that started after the notice.
  Scenario: a restarted gateway learns from the other one which replicas are leaving
    Given a site of two gateways, eight replicas and a store
    When the store is up, and a plain replica announces its departure in its answers
    And requests are sent until one of its answers is forwarded
    And the first gateway is killed and restarted
    Then no request reaches it from 2 s to 4 s after that, and all requests are served

  # Guards against a replica that never gets work again after a restart.
  Scenario: a replica that announced its departure gets requests again after a restart
    Given a site of two gateways, eight replicas and a store
    When the store is up, and a plain replica announces its departure in its answers
    And requests are sent until one of its answers is forwarded
    And it restarts
    Then requests reach it again within 5 s

  # Guards against notices from another server that now listens on a replica's address.
  Scenario Outline: an answer with status <status> of <whose> replica <shows> its departure
    Given a replica that the host knows
    When an answer with status <status> of <whose> replica announces its departure
    Then the replica <gets> work

    Examples:
      | status | whose   | shows         | gets   |
      | 200    | the     | shows         | has no |
      | 500    | the     | shows         | has no |
      | 503    | the     | shows         | has no |
      | 421    | another | does not show | gets   |
      | 421    | an earlier attempt's | does not show | gets   |

  # Guards against notices that are lost when an older record is read from the store again.
  Scenario: a departure notice overrides older records, and ends with the incarnation
    Given a replica that the host knows
    When notices and records of two incarnations arrive in any order from several hosts
    Then it gets no work if its newest known incarnation has announced its departure, and gets work otherwise

  # Guards against routing to leaving replicas under full load, and against clients that wait after all have left.
  Scenario: all replicas of a service leave one after the other under load while the store is down
    Given a site of two gateways, eight replicas and a store
    When 12 clients send requests without a pause while the store is down and the plain replicas announce their departure in turn
    Then no request reaches a replica later than 2 s after its answer was forwarded
    And requests are refused immediately as not run once all have left
    When the plain replicas restart and the store is available again
    Then requests are served again within 6 s

  # Guards against routing to a leaving replica whose record expired in a store outage.
  Scenario: a departure notice applies to a replica that is kept after its record expired
    Given a replica that the host knows
    When its record expires in an outage of the store
    And an answer with status 200 of the replica announces its departure
    Then the replica has no work
    When the replica registers again
    Then the replica has no work

  # Guards against requests to a replica whose Retry-After time has not passed yet.
  Scenario Outline: <what> that reject requests for 5 s get at most two requests in that time from each gateway
    Given a site of two gateways, eight replicas and a store
    When <what> reject requests for 5 s, while requests are sent through both gateways
    Then each of them got at most two requests from each gateway
    And refused clients were told immediately to retry at the end of the 5 s
    And requests are served again within 3 s
    And both gateways count hold_offs

    Examples:
      | what                         |
      | all plain replicas           |
      | all engine replicas          |

  # Guards against a request burst at replicas that asked to hold off, or at the end of the hold-off.
  Scenario Outline: <what> that reject requests for <hold_s> s are not overloaded by far more load than they serve
    Given a site of two gateways, eight replicas and a store
    When <what> reject requests for <hold_s> s, and 24 clients send requests without a pause for <span_s> s
    Then no replica got more than two requests of a gateway from 0.5 s after an answer to the end of the hold-off
    And all were refused as not run, with a retry time

    Examples:
      | what                | hold_s | span_s |
      | all plain replicas  | 1      | 5      |
      | all engine replicas | 5      | 8      |
      | all engine replicas | 30     | 5      |

  # Guards against requests that are refused although other replicas accept them.
  Scenario: other replicas take over the work of one that rejects requests
    Given a site of two gateways, eight replicas and a store
    When one plain replica rejects requests for 5 s, while requests are sent through both gateways
    Then each of them got at most two requests from each gateway
    And all the requests were served

  # Guards against a request burst at the moment at which a replica accepts requests again.
  Scenario: a single request is sent first after a hold-off
    Given a replica that has asked to hold off for 5 s
    Then no request may go to it for 5 s
    And then one request may go to it, and no other before that one is accepted or 2 s have passed
    When it asks to hold off for another 3 s in its answer to the first
    Then no request may go to it for 3 s

  # Guards against Retry-After values that block a host or a replica permanently.
  Scenario Outline: a Retry-After of "<value>" asks for <asked>
    Then a 503 with Retry-After "<value>" asks for <asked>

    Examples:
      | value                         | asked         |
      | 5                             | 5000 ms       |
      | 0.25                          | 250 ms        |
      | 0                             | 0 ms          |
      | Thu, 01 Jan 1970 00:00:00 GMT | 0 ms          |
      | -1                            | nothing       |
      | nan                           | nothing       |
      | inf                           | nothing       |
      | soon                          | nothing       |
      | 5, 6                          | nothing       |
      | 1e9                           | 3600000 ms at most |

  # Guards against clients that retry before any replica accepts requests, because a down replica has no hold-off.
  Scenario: clients are told when the first live replica accepts requests again
    Given a host that knows a replica that asked to hold off for 5 s, one for 3 s and one that is down
    Then clients of their service are told to retry after 3 s

  # Guards against a burst of non-repeatable calls when a replica accepts calls again.
  Scenario: an entry host sends a single call first after a hold-off
    Given an entry host whose services answer
      | service | answer                   |
      | rigs    | 503 Busy; Retry-After: 5 |
    When each service is called once
    And 5000 ms pass, and 4 calls that may not repeat come at once
    Then one of them reaches the replica, and the others are refused as not run

  # Guards against callers that retry too early, because another service accepts calls before theirs.
  Scenario: callers of an entry host are told when their own service accepts calls again
    Given an entry host whose services answer
      | service | answer                   |
      | rigs    | 503 Busy; Retry-After: 5 |
      | notes   | 503 Busy; Retry-After: 1 |
    When each service is called once
    Then a call of rigs is refused, to come back in 5000 ms

  # Guards against callers that are told to retry immediately because replicas of another service asked to hold off.
  Scenario: the retry time for a service without replicas ignores the hold-offs of other services
    Given an entry host whose services answer
      | service | answer                   |
      | notes   | 503 Busy; Retry-After: 5 |
    When each service is called once
    And the replica of rigs takes no connection
    Then a call of rigs is refused, to come back in 2000 ms

  # Guards against streams to engines of an entry host whose hold-off has not expired.
  Scenario: engines of an entry host that reject streams get none until their hold-off expires
    Given an entry host over 2 stand-in engines that each hold all layers
    When the engines reject streams for 3 s, and 4 clients send streams without a pause for 2 s
    Then none of them rejected a stream later than 0.5 s after its first answer
    And callers were refused as not run, with a retry time at the end of the 3 s
    When the engines accept streams again, and the hold-off has expired
    Then streams complete through both again within 3 s

  # Guards against streams that are refused although another engine accepts them.
  Scenario: another engine takes over the streams of one that rejects them
    Given an entry host over 2 stand-in engines that each hold all layers
    When one of the engines rejects streams for 3 s, and 4 clients send streams without a pause for 2 s
    Then none of them rejected a stream later than 0.5 s after its first answer
    And all the streams completed
