Feature: routing
  Every planned route runs each layer once, and the plan carries as much as the replicas and links do.

  Scenario: the flow equals the oracle's
    When 200 random flow graphs are solved
    Then each flow has the oracle's value and keeps within the capacities

  Scenario: every planned route tiles the layers
    When routes are planned for 150 random fleets
    Then each route tiles the layers with ranges that its replicas hold
    And the routes together carry the bound within every replica's and link's capacity

  Scenario: a plan for 150 replicas is made in time
    When routes are planned 5 times for 150 replicas of 4 kinds over links 100 times apart
    Then the fastest plan takes at most 100 ms
    And picking among them takes at most 50 us at the median

  Scenario: a pick avoids replicas that may take no work
    Given a router over 4 failure domains with 24 engines
    When replicas are marked leaving, down and excluded in turn while 2000 routes are picked
    Then no picked route has a replica that may take no work
    And every picked route tiles the layers

  Scenario: a stream beyond the limits goes to a fast route with a free slot
    Given a fast, a slow and a full route of one model whose latencies are known
    When 40 streams beyond the limits are granted one after the other, each ending at once
    Then at least 36 of them get the fast route and none the full one

  Scenario: the last slots of an engine are kept for streams beyond the limits
    Given a router with one engine of 32 slots for the whole model, whose limit does not bind
    When streams are granted until there is no room
    Then 31 of them run
    And one more is granted beyond the limits

  Scenario: a replica that is leaving stays so
    Given a router over 1 failure domains with 4 engines
    When one engine is marked leaving and the host list still calls it live
    Then it takes no work though it leaves the list and comes back, until 30 s without a sign
    And it takes work again after a start with another boot id

  # Guards against engines that stay without work for what they said before they started anew.
  Scenario: an engine that wants no work for a while gets it once it has started anew
    Given a router over 1 failure domains with 4 engines
    When one engine asks for no work for 60 s
    Then it takes no work while it reports the same boot
    And it takes work once it reports another one

  Scenario: own streams are counted over a gap in the host list
    Given a router over 1 failure domains with 4 engines
    When the host list loses the engines for a while during 3 streams
    Then each engine's streams are counted off in the end

  Scenario: subsets are balanced and keep every layer range
    When 100 random sites are split into subsets
    Then the numbers of hosts of any two replicas differ by one at most
    And a replica that joins changes at most 2 names of each subset
    And the engines of each subset of a model tile its layers
