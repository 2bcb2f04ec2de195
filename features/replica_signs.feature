Feature: what replicas say of themselves in their answers
  A replica says that it leaves, or that it wants nothing for a while. What counts is what reaches it.

  # Guards against work for a replica that leaves where the store's record does not say so.
  Scenario Outline: <what> that says in its answers that it leaves gets no requests from 2 s on
    Given a site of two gateways, eight replicas and a store
    When the store is <store>, and <what> says in its answers that it leaves
    And requests are sent until one of its answers is passed on
    Then no request reaches it from 2 s to 4 s after that, and all are served
    And both gateways count leaving_signs

    Examples:
      | what                          | store  |
      | a plain replica               | up     |
      | a plain replica               | down   |
      | the first replica of streams  | up     |
      | the first replica of streams  | down   |

  # Guards against work for a leaving replica from a host that has started since the sign.
  Scenario: a gateway that starts anew hears from the other one which replicas leave
    Given a site of two gateways, eight replicas and a store
    When the store is up, and a plain replica says in its answers that it leaves
    And requests are sent until one of its answers is passed on
    And the first gateway is killed and starts again
    Then no request reaches it from 2 s to 4 s after that, and all are served

  # Guards against a replica that is left without work for ever once it has started anew.
  Scenario: a replica that has said that it leaves gets requests again once it has started anew
    Given a site of two gateways, eight replicas and a store
    When the store is up, and a plain replica says in its answers that it leaves
    And requests are sent until one of its answers is passed on
    And it starts anew
    Then requests reach it again within 5 s

  # Guards against signs of whatever stands at a replica's address now.
  Scenario Outline: an answer with status <status> of <whose> replica <shows> that it leaves
    Given a replica that the host knows
    When an answer with status <status> of <whose> replica says that it leaves
    Then the replica <gets> work

    Examples:
      | status | whose   | shows         | gets   |
      | 200    | the     | shows         | has no |
      | 500    | the     | shows         | has no |
      | 503    | the     | shows         | has no |
      | 421    | another | does not show | gets   |

  # Guards against signs that are lost as the store's older record is read once more.
  Scenario: a sign of leaving outlives older records, and ends with the incarnation
    Given a replica that the host knows
    When signs and records of two incarnations come in any order from several hosts
    Then it has no work while the newest incarnation known has said that it leaves, and gets it else

  # Guards against work for leaving replicas under full load, and against clients that wait where all have left.
  Scenario: all replicas of a service leave one after the other under load while the store is down
    Given a site of two gateways, eight replicas and a store
    When 12 clients send requests without a pause while the store is down and the plain replicas say in turn that they leave
    Then no request reaches a replica later than 2 s after its answer was passed on
    And requests are refused at once as not run once all have left
    When the plain replicas start anew and the store is back
    Then requests are served again within 6 s

  # Guards against work for a leaving replica whose record lapsed as the store was away.
  Scenario: a sign of leaving counts for a replica that is kept though its record has lapsed
    Given a replica that the host knows
    When its record lapses in an outage of the store
    And an answer with status 200 of the replica says that it leaves
    Then the replica has no work
    When the replica registers again
    Then the replica has no work

  # Guards against requests to a replica that has said for how long it wants none.
  Scenario Outline: <what> that turns requests away for 5 s get at most two in that time from each gateway
    Given a site of two gateways, eight replicas and a store
    When <what> turn requests away for 5 s, and requests are sent through both gateways meanwhile
    Then each of them got at most two requests from each gateway
    And clients that were refused were told at once to come back once the 5 s are over
    And requests are served again within 3 s
    And both gateways count hold_offs

    Examples:
      | what                         |
      | all plain replicas           |
      | all engine replicas          |

  # Guards against a crowd of requests at replicas that want none, or at the end of their time.
  Scenario Outline: <what> that turn requests away for <hold_s> s hold under far more load than they serve
    Given a site of two gateways, eight replicas and a store
    When <what> turn requests away for <hold_s> s, and 24 clients send requests without a pause for <span_s> s
    Then no replica got more than two requests of a gateway from 0.5 s after an answer to the end of the time
    And all were refused as not run, with a time to come back

    Examples:
      | what                | hold_s | span_s |
      | all plain replicas  | 1      | 5      |
      | all engine replicas | 5      | 8      |
      | all engine replicas | 30     | 5      |

  # Guards against requests that are refused though other replicas take them.
  Scenario: other replicas take the work of one that turns requests away
    Given a site of two gateways, eight replicas and a store
    When one plain replica turns requests away for 5 s, and requests are sent through both gateways meanwhile
    Then each of them got at most two requests from each gateway
    And all the requests were served

  # Guards against a crowd of requests at the moment at which a replica takes some again.
  Scenario: the first request after the time goes alone
    Given a replica that has asked for nothing for 5 s
    Then no request may go to it for 5 s
    And then one may go, and no other before that has been taken or 2 s are over
    When it asks for 3 s more in answer to the first
    Then no request may go to it for 3 s

  # Guards against values of Retry-After that stop a host or a replica for good.
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

  # Guards against clients that come back before any replica takes requests, as one that is down has not asked for time.
  Scenario: clients are told when the first living replica takes requests again
    Given a host that knows a replica that wants nothing for 5 s, one for 3 s and one that is down
    Then clients of their service are told to come back after 3 s

  # Guards against a crowd of calls that may not repeat when a replica takes some again.
  Scenario: on an entry host the first call after the time goes alone
    Given an entry host whose services answer
      | service | answer                   |
      | rigs    | 503 Busy; Retry-After: 5 |
    When each service is called once
    And 5000 ms pass, and 4 calls that may not repeat come at once
    Then one of them reaches the replica, and the others are refused as not run

  # Guards against callers that come back too soon, as another service takes calls before theirs.
  Scenario: callers of an entry host are told when their own service takes calls again
    Given an entry host whose services answer
      | service | answer                   |
      | rigs    | 503 Busy; Retry-After: 5 |
      | notes   | 503 Busy; Retry-After: 1 |
    When each service is called once
    Then a call of rigs is refused, to come back in 5000 ms

  # Guards against callers that are told to come back at once as replicas of another service want no calls.
  Scenario: callers of an entry host whose replica is gone are not told of another service's replicas
    Given an entry host whose services answer
      | service | answer                   |
      | notes   | 503 Busy; Retry-After: 5 |
    When each service is called once
    And the replica of rigs takes no connection
    Then a call of rigs is refused, to come back in 2000 ms

  # Guards against streams for engines of an entry host that have said for how long they want none.
  Scenario: engines of an entry host that turn streams away get none until their time is over
    Given an entry host over 2 stand-in engines that each hold all layers
    When the engines turn streams away for 3 s, and 4 clients send streams without a pause for 2 s
    Then none of them turned away a stream later than 0.5 s after its first answer
    And callers were refused as not run, to come back once the 3 s are over
    When the engines take streams again, and the time is over
    Then streams come whole through both again within 3 s

  # Guards against streams that are refused though another engine takes them.
  Scenario: another engine takes the streams of one that turns them away
    Given an entry host over 2 stand-in engines that each hold all layers
    When one of the engines turns streams away for 3 s, and 4 clients send streams without a pause for 2 s
    Then none of them turned away a stream later than 0.5 s after its first answer
    And all the streams came whole
