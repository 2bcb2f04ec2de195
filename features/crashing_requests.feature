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

  Scenario: a request that crashed three replicas is refused on every host
    Given two hosts that tell each other of crashes
    When a request is running at three crashes, seen by either host
    Then both hosts refuse it
    And a request that was running at two of them is still served

  Scenario: one crash that two hosts saw counts once
    Given two hosts that tell each other of crashes
    When both hosts see the same crash three times
    Then neither refuses the request

  # Guards against convictions of innocent requests by crashes that befell them one after the other.
  Scenario: a request that has run to its end since is not refused for earlier crashes
    Given two hosts that tell each other of crashes
    When a request is running at two crashes, runs to its end at one host, and at two more crashes
    Then neither refuses the request

  # Guards against convictions of streams that have run on for a while at each replica that ended.
  Scenario: a request that had run on for a while at crashes is refused only after five of them
    Given two hosts that tell each other of crashes
    When a request had run on for a while at 4 crashes
    Then neither refuses the request
    When a request had run on for a while at 5 crashes
    Then both hosts refuse it

  # Guards against innocent requests that are refused for replicas that left as they had announced.
  Scenario Outline: a replica that <ends> under a request is held against it <times> times
    Given a host that knows of a replica
    When a request that runs there brings no whole answer, and the replica <ends>
    Then the request is held for <times> crashes

    Examples:
      | ends                                            | times |
      | lapses after 2 s                                | 1     |
      | takes its record back                           | 0     |
      | starts anew without a word                      | 1     |
      | announces that it leaves and goes               | 0     |
      | announces that it leaves and starts anew        | 0     |
      | says in an answer that it leaves and goes       | 0     |

  # Guards against each failure domain of a site counting for itself while they can't reach each other.
  Scenario: hosts that reach just the store count together
    Given two hosts that reach the store and not each other
    When a request is running at two crashes seen by the first host, and at one seen by the second
    Then both hosts refuse it

  # Guards against entries that depend on the order in which hosts hear of them.
  Scenario: what hosts know of a request merges into the same whatever the order
    Then entries that are offered in any order, and more than once, come to the same

  # Guards against innocent requests that stay refused: one that runs everywhere is at every crash of a site.
  Scenario: a refused request runs once on trial, and is served by all once that has ended well
    Given a site of two gateways, eight replicas and a store
    When a request that crashes a plain replica, with a reset is sent 4 times through both gateways
    Then at most 3 replicas have crashed and the request is refused from then on
    When nothing crashes the replicas any more
    Then the request is served through both gateways within 34 s

  # Guards against trials that hosts take each for itself: together they would end many more replicas.
  Scenario: a request that does harm gets two trials on the whole site
    Given 6 hosts, one of which can't reach the store, that refuse a request
    When it comes to each of them every second for 300 s and crashes a replica on each trial
    Then it has run on trial twice, first 30 s after its last crash

  # Guards against trials that are used up though the request has reached no replica.
  Scenario Outline: a trial on which <what> leaves the request another
    Given a host that refuses a request whose trial is due
    When <what>
    Then the request may run once on trial

    Examples:
      | what                                      |
      | the store's answer is lost                |
      | no replica can be reached                 |

  # Guards against refused requests that reach replicas again and again as long as those turn them away.
  Scenario: a trial on which a replica turns the request away is used up
    Given a host that refuses a request whose trial is due
    When a replica turns the request away
    Then the request is refused

  # Guards against innocent requests that wait for verdicts on slow ones of their kind.
  Scenario: a request is not held up by sends of the same kind that brought no answer while no replica has ended
    Given 5 sends of a request without an answer, and replicas that live
    Then the same request may be sent at once by another client
    And a client whose own send brought no answer waits for the verdict before a repeat

  # Guards against calls that pass for harmless as a busy replica has turned them away.
  Scenario: a call that a replica turns away stays held for its crashes
    Given an entry host whose services answer
      | service | answer   |
      | rigs    | 503 Busy |
    And a call of rigs has crashed 2 replicas
    When each service is called once
    And a call of rigs has crashed 1 replicas
    Then a call of rigs is refused as "quarantined"

  # Guards against trials on an entry host that are used up though the call has reached no replica.
  Scenario: an entry host's call on trial that finds no replica leaves the call another
    Given an entry host whose services answer
      | service | answer |
      | rigs    | 200 OK |
    And a call of rigs has crashed 3 replicas
    When 30000 ms pass, and a call of rigs finds no replica
    Then a call of rigs is served

  # Guards against refused calls that reach replicas again and again as long as those turn them away.
  Scenario: an entry host's call on trial that a replica turns away has used it up
    Given an entry host whose services answer
      | service | answer |
      | rigs    | 200 OK |
    And a call of rigs has crashed 3 replicas
    When 30000 ms pass, and a call of rigs finds a busy replica
    Then a call of rigs is refused as "quarantined"
