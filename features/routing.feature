Feature: routing
  Every planned route runs each layer once, and the plan reaches the maximum flow that the capacities of
  replicas and links allow.

  Scenario: the computed flow equals that of a reference implementation
    When 200 random flow graphs are solved
    Then each flow has the reference value and respects the capacities

  Scenario: every planned route runs each layer once
    When routes are planned for 150 random fleets
    Then each route tiles the layers with ranges that its replicas hold
    And the routes together carry the bound within every replica's and link's capacity

  Scenario: planning for 150 replicas stays within its time limit
    When routes are planned 5 times for 150 replicas of 4 kinds over links whose rates differ 100-fold
    Then the fastest plan takes at most 100 ms
    And picking a route takes at most 50 us at the median

  Scenario: the router never picks an unavailable replica
    Given a router over 4 failure domains with 24 engines
    When replicas are marked leaving or down or are excluded while 2000 routes are picked
    Then no picked route contains an unavailable replica
    And every picked route tiles the layers

  Scenario: a stream over the limits gets a fast route with a free slot
    Given a fast, a slow and a full route of one model whose latencies are known
    When 40 streams over the limits are started one after the other, each ending at once
    Then at least 36 of them get the fast route and none the full one

  Scenario: the last slots of an engine are reserved for streams over the limits
    Given a router with one engine of 32 slots for the whole model, whose limit does not bind
    When streams are started until there is no free capacity
    Then 31 of them run
    And one more is started over the limits

  Scenario: a leaving replica stays unavailable until it restarts or its notice expires
    Given a router over 1 failure domains with 4 engines
    When one engine is marked leaving and the host list still reports it live
    Then it gets no work, even after it leaves the host list and returns, until 30 s without a notice
    And it gets work again after a restart with another boot id

  # Guards against a hold-off that outlives the process that asked for it.
  Scenario: an engine that asked for a hold-off gets work again after a restart
    Given a router over 1 failure domains with 4 engines
    When one engine asks for a hold-off of 60 s
    Then it gets no work while it reports the same boot id
    And it gets work once it reports another one

  Scenario: streams stay counted while their engines are missing from the host list
    Given a router over 1 failure domains with 4 engines
    When the engines are missing from the host list for a while during 3 streams
    Then every engine's stream count returns to zero

  Scenario: subsets are balanced and contain every layer range
    When 100 random sites are split into subsets
    Then the numbers of hosts of any two replicas differ by one at most
    And a replica that joins changes at most 2 names of each subset
    And the engines of each subset of a model tile its layers
