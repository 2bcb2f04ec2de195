Feature: requests that crash the replicas that run them
  Such a request is sent again with the same path, caller and body, through any gateway. It may crash
  at most three replicas before it is refused, and one more in each of two trials. Generations on
  pipelines have stricter rules; see quarantine.feature.

  # Guards against crashes that are not attributed to the request, so that it is retried forever.
  Scenario Outline: a request that crashes <what> is refused after three crashes
    Given a site of two gateways, eight replicas and a store
    When a request that crashes <what> is sent 8 times through both gateways
    Then at most 3 replicas have crashed and the request is refused from then on
    And both gateways serve other reads and streams again

    Examples:
      | what                                         |
      | its first replica, with a reset              |
      | its first replica, which falls silent        |
      | the last replica of its path                 |
      | a plain replica, with a reset                |
      | a plain replica, which falls silent          |

  # Guards against crashes that are not attributed when the caller disconnects before the crash is
  # detected.
  Scenario: a request that crashes its first replica is refused although its caller disconnects each time
    Given a site of two gateways, eight replicas and a store
    When a request that crashes its first replica, which falls silent is sent 6 times by a caller that disconnects after 300 ms
    Then at most 3 replicas have crashed and the request is refused from then on

  # Guards against convictions that are lost once every host of a site has restarted.
  Scenario: a request that crashes its replicas stays refused while the gateways are killed in turn
    Given a site of two gateways, eight replicas and a store
    When a request that crashes its first replica, with a reset is sent 8 times while the gateways are killed in turn
    Then at most 3 replicas have crashed and the request is refused from then on

  # Guards against convictions that are lost when all hosts fail at once.
  Scenario: a request that crashes its replicas stays refused after all gateways were killed at once
    Given a site of two gateways, eight replicas and a store
    When a request that crashes its first replica, with a reset is sent 4 times through both gateways
    And all gateways are killed and started
    And a request that crashes its first replica, with a reset is sent 4 times through both gateways
    Then at most 3 replicas have crashed and the request is refused from then on

  Scenario: a request that crashed three replicas is refused on every host
    Given two hosts that share crash entries
    When a request is running at three crashes, each observed by one of the hosts
    Then both hosts refuse it
    And a request that was running at two of them is not refused

  Scenario: one crash observed by two hosts counts once
    Given two hosts that share crash entries
    When both hosts observe the same crash three times
    Then neither refuses the request

  # Guards against conviction of a harmless request by unrelated crashes over time.
  Scenario: a request that has since completed is not refused for earlier crashes
    Given two hosts that share crash entries
    When a request is running at two crashes, completes on one host, and is running at two more crashes
    Then neither refuses the request

  # Guards against conviction of long-running streams, which are present at more crashes by chance.
  Scenario: a request that had been running for longer at crashes is refused only after five of them
    Given two hosts that share crash entries
    When a request had been running for longer at 4 crashes
    Then neither refuses the request
    When a request had been running for longer at 5 crashes
    Then both hosts refuse it

  # Guards against harmless requests that are refused because replicas shut down as announced.
  Scenario Outline: a replica that <ends> while running a request counts as <times> crashes
    Given a host that knows of a replica
    When a request running there gets no complete answer, and the replica <ends>
    Then the request has <times> crashes

    Examples:
      | ends                                            | times |
      | lapses after 2 s                                | 1     |
      | is removed after 2 s and serves on              | 0     |
      | takes its record back                           | 0     |
      | starts anew without a word                      | 1     |
      | announces that it leaves and goes               | 0     |
      | announces that it leaves and starts anew        | 0     |
      | says in an answer that it leaves and goes       | 0     |
      | answers no probe for a while and goes on        | 0     |
      | answers no probe for a while and starts anew    | 1     |

  # Guards against failure domains that count crashes separately while they are partitioned.
  Scenario: hosts that can only reach the store count crashes together
    Given two hosts that can reach the store but not each other
    When a request is running at two crashes observed by the first host, and at one observed by the second
    Then both hosts refuse it

  # Guards against a store that every host writes to as replicas crash together: their streams share
  # parts of prompts, so that all hosts observe the same crashes of the same parts.
  Scenario: hosts that observe the same crashes leave it to a few of them to store these
    Given 40 hosts that follow one store
    When all of them observe 2 crashes of 3 parts within 300 ms
    Then within 3 s the store holds all these crashes, and at most 10 hosts have written any
    When one of them observes a third crash of each
    Then the store holds all these crashes within 200 ms

  # Guards against entries that depend on the order in which hosts receive them.
  Scenario: crash entries of a request merge to the same result in any order
    Then entries that are received in any order, and more than once, merge to the same result

  # Guards against harmless requests that stay refused: one that runs on every replica is present at
  # every crash of a site.
  Scenario: a refused request runs once in a trial, and is served by all hosts once that has succeeded
    Given a site of two gateways, eight replicas and a store
    When a request that crashes a plain replica, with a reset is sent 4 times through both gateways
    Then at most 3 replicas have crashed and the request is refused from then on
    When the fault in the replicas is fixed
    Then the request is served through both gateways within 34 s

  # Guards against trials that each host starts independently, which together would crash many more
  # replicas.
  Scenario: a request that crashes replicas gets two trials on the whole site
    Given 6 hosts, one of which can't reach the store, that refuse a request
    When it is sent to each of them every second for 300 s and crashes a replica in each trial
    Then it has run in two trials, the first of them 30 s after its last crash

  # Guards against harmless requests that stay refused because they ran beside one that crashes
  # replicas: they have the same crashes, and only a trial tells them apart.
  Scenario Outline: a request <shared> of whose three crashes are those of another refused request gets its first trial after <after_s> s
    Given 6 hosts, one of which can't reach the store, that refuse a request
    And another request that they refuse has <shared> of its crashes
    When it is sent to each of them every second for 300 s and crashes a replica in each trial
    Then it has run in <trials> trials, the first of them after <after_s> s

    Examples:
      | shared | after_s | trials |
      | 3      | 1       | 3      |
      | 1      | 1       | 2      |
      | 0      | 30      | 2      |

  # Guards against harmless requests that stay refused because the hosts started anew since the crashes
  # and lack the last one of the request that caused them, which so isn't refused (soak, seed 2).
  Scenario Outline: a request <shared> of whose three crashes are those of a request that is not refused gets its first trial after <after_s> s
    Given 6 hosts, one of which can't reach the store, that refuse a request
    And another request that they don't refuse has <shared> of its crashes
    When it is sent to each of them every second for 300 s and crashes a replica in each trial
    Then it has run in 2 trials, the first of them after <after_s> s

    Examples:
      | shared | after_s |
      | 2      | 1       |
      | 1      | 30      |

  # Guards against harmless requests that stay refused because a replica without room or layers rejected
  # them in their early trial (soak, seeds 2 and 507). Never more trials than in all other cases.
  Scenario Outline: a request <shared> of whose three crashes are those of another refused request, and that replicas reject, gets trials after <after_s> s
    Given 6 hosts, one of which can't reach the store, that refuse a request
    And another request that they refuse has <shared> of its crashes
    When it is sent to each of them every second for 300 s and is rejected in each trial
    Then it has run in trials after <after_s> s

    Examples:
      | shared | after_s |
      | 3      | 1, 3, 7 |
      | 0      | 30, 120 |

  # Guards against the same where the rejection comes from a replica.
  Scenario: a request that a replica rejects in its early trial runs in the next one soon
    Given a host that refuses two requests for the same three crashes
    When a replica rejects one of them in its trial, and it is sent again after 2100 ms
    Then it runs in a trial again

  # Guards against trials that are taken and given back as long as no path is complete, and harmless
  # requests that are told meanwhile that they crash replicas (soak, seed 2).
  Scenario Outline: a <kind> that may be harmless gets no trial while nothing can run it, and may come back
    Given a host that refuses two requests for the same three crashes
    When one of them is sent as a <kind> after 1100 ms, and nothing can run it
    Then it is answered 503 with a Retry-After, and its trial is left

    Examples:
      | kind          |
      | stream        |
      | plain request |

  # Guards against the request of a rejected trial that is told it crashed replicas (soak, seed 507).
  Scenario Outline: a refused request that may be harmless and was <what> is answered <status>
    Given a host that refuses two requests for the same three crashes
    When one of them is refused after <sends> sends, of which <rejections> were rejected
    Then it is answered with status <status>

    Examples:
      | what              | sends | rejections | status |
      | not sent          | 0     | 0          | 503    |
      | rejected          | 1     | 1          | 503    |
      | perhaps run       | 2     | 1          | 502    |

  # Guards against harmless requests that wait for 30 s, as the trial after a rejected one was given back.
  Scenario: a trial that follows a rejected one and reaches no replica is not used up
    Given a host that refuses two requests for the same three crashes
    When a replica rejects one of them in its trial, and after 2100 ms the next trial reaches none
    Then it runs in a trial again

  # Guards against requests that are refused while a trial that is due shows them to be harmless.
  Scenario: a request that ran beside one that crashes replicas waits for the trial of another client's
    Given a host that refuses two requests for the same three crashes
    When one of them is sent by two clients, and is answered in 300 ms where it runs
    Then both are answered within 2000 ms, one of them in a trial

  # Guards against callers that are kept waiting for a result that no trial will give.
  Scenario: a request whose early trial has crashed a replica is refused at once later on
    Given a host that refuses two requests for the same three crashes
    When one of them crashes a replica in its trial, and is sent again after 2600 ms
    Then it is refused within 100 ms

  # Guards against trials that are used up although the request has not reached a replica.
  Scenario Outline: a trial in which <what> is not used up
    Given a host that refuses a request whose trial is due
    When <what>
    Then the request may run once in a trial

    Examples:
      | what                                      |
      | the reply of the store is lost            |
      | no replica can be reached                 |

  # Guards against refused requests that reach replicas repeatedly while the replicas reject them.
  Scenario: a trial in which a replica rejects the request is used up
    Given a host that refuses a request whose trial is due
    When a replica rejects the request
    Then the request is refused

  # Guards against harmless requests that are delayed by slow requests with the same fingerprint.
  Scenario: a request is not delayed by unanswered identical ones while no replica has failed
    Given 5 unanswered attempts of a request, and replicas that are alive
    Then the same request may be sent at once by another client
    And a client whose own attempt was not answered waits for the decision before a retry

  # Guards against requests that are refused because their replicas paused together: all streams of a
  # client may be the same request, and three of its replicas may fail a probe in one pause.
  Scenario Outline: a request whose three replicas <end> is <verdict>
    Given three replicas that have answered no probe while they ran a request
    When the request is sent again, and after <after_ms> ms the replicas <end>
    Then it is <verdict> after <least_ms> to <most_ms> ms

    Examples:
      | end                     | after_ms | verdict | least_ms | most_ms |
      | answer again            | 600      | sent    | 550      | 900     |
      | lose their records      | 600      | refused | 550      | 900     |
      | start anew              | 0        | refused | 0        | 200     |
      | stay silent             | 0        | refused | 1400     | 1800    |

  # Guards against calls that are considered harmless because a busy replica rejected them.
  Scenario: a call that a replica rejects keeps its crashes
    Given an entry host whose services answer
      | service | answer   |
      | rigs    | 503 Busy |
    And a call of rigs has crashed 2 replicas
    When each service is called once
    And a call of rigs has crashed 1 replicas
    Then a call of rigs is refused as "quarantined"

  # Guards against trials on an entry host that are used up although no replica got the call.
  Scenario: a trial on an entry host that finds no replica is not used up
    Given an entry host whose services answer
      | service | answer |
      | rigs    | 200 OK |
    And a call of rigs has crashed 3 replicas
    When 30000 ms pass, and a call of rigs finds no replica
    Then a call of rigs is served

  # Guards against refused calls that reach replicas repeatedly while the replicas reject them.
  Scenario: a trial on an entry host that a replica rejects is used up
    Given an entry host whose services answer
      | service | answer |
      | rigs    | 200 OK |
    And a call of rigs has crashed 3 replicas
    When 30000 ms pass, and a call of rigs finds a busy replica
    Then a call of rigs is refused as "quarantined"

  # Guards against harmless calls that stay refused because a busy replica rejected their early trial.
  Scenario: a call that a replica rejects in its early trial runs in the next one soon on an entry host
    Given an entry host whose services answer
      | service | answer |
      | rigs    | 200 OK |
    And a call of rigs has crashed 3 replicas
    And another call has crashed the same replicas
    When 1000 ms pass, and a call of rigs finds a busy replica
    Then 2000 ms later a call of rigs is served
