Feature: placement of layers, and paths over them
  Every layer of the model runs once and in order; each failure domain has a copy of its own.

  Scenario: a fleet of three kinds gets a whole copy in each failure domain
    Given a fleet like Trekvast's with empty replicas
    When layers are placed until nothing changes
    Then each failure domain holds every layer
    And no replica holds more layers than fit beside its requests
    And each path stays within one failure domain

  Scenario: the loss of any one replica is made good within its failure domain or by another one
    Given a fleet like Trekvast's with its layers placed
    When each replica in turn is lost and layers are placed anew
    Then every time the fleet holds every layer again
    And no replica was ordered to hold more than its memory

  Scenario: a replica whose order is under way is left alone
    Given a fleet like Trekvast's with its layers placed
    When a replica is lost while all others carry out orders
    Then nothing is ordered

  Scenario: a replica that comes back empty is used without moving others
    Given a fleet like Trekvast's with its layers placed
    When a replica starts again empty
    Then only that replica is ordered

  Scenario: a release replaces each replica in turn, the new one first
    Given a fleet like Trekvast's with its layers placed
    When each replica in turn is replaced, the new one joining while the old one still serves
    Then every time only the new one is ordered
    And every time a token takes at most 1.25 times as long as before

  Scenario: slow replicas hold layers of a copy while a fast one's are held by others too
    Given a failure domain whose first layers slow replicas hold, and a fast one beside others elsewhere
    When layers are placed until nothing changes
    Then only the fast replica was moved
    And a token takes at most 0.75 times as long as before

  Scenario: a placement at rest is planned again only once something has changed
    Given a fleet like Trekvast's with its layers placed
    Then it is planned once while nothing changes, and once more for each change

  Scenario: placing layers is as good as an exhaustive search on small fleets
    Then on 40 small random fleets a token takes at most 1.25 times as long as with the best placement

  Scenario: any path covers every layer once and in order
    Then on 300 random fleets each path covers every layer once, names no replica twice and lies within what they hold

  Scenario: a path keeps off a replica without room for the request
    Given two replicas that each hold the whole model, one of them full
    Then the path for a request goes through the other one
    And there is no path for a request once both are full

  Scenario: a path behind a given first replica starts there
    Given a fleet like Trekvast's with its layers placed
    Then a path behind each first replica starts with it and avoids the replica at fault

  Scenario: a stream that moves past a lost replica keeps its other parts
    Given a failure domain with two replicas for each range of layers
    Then past each lost part of a path just that part's layers are read anew
    And a part that is full for others is kept too

  Scenario: new requests keep off a path that is busy reading prompts
    Given a failure domain with two replicas for each range of layers
    When 30 prompts are read on the path chosen first
    Then the next path has none of its parts, and the same parts 200 ms later

  Scenario: work spreads over two equal copies
    Given two replicas that each hold the whole model
    When 40 requests choose their paths one after the other
    Then neither replica has more than 21 of them

  Scenario: a failure domain that is cut off and comes back keeps its layers
    Given a fleet like Trekvast's with its layers placed, watched over time
    When a failure domain is cut off and its replicas come back one by one
    Then nothing is ordered at any moment

  Scenario: a replica that is lost alone is made up for at once
    Given a fleet like Trekvast's with its layers placed, watched over time
    When one replica of a failure domain is lost
    Then its layers are ordered elsewhere at once

  Scenario: replicas that announced that they leave are made up for, however many
    Given a fleet like Trekvast's with its layers placed, watched over time
    When four replicas of a failure domain announce that they leave
    Then their layers are ordered elsewhere at once

  Scenario: few of many hosts compete for a lease that has lapsed
    Given 76 hosts that learn of a change of the lease 50 to 300 ms later
    When the lease lapses
    Then one host holds it within 1 s, and at most 2 have tried

  Scenario: the first in rank can't reach the store
    Given 76 hosts that learn of a change of the lease 50 to 300 ms later
    When the lease lapses and the first 3 in rank can't reach the store
    Then one host holds it within 2 s, and at most 3 besides those have tried

  Scenario: the holder of the lease is refused by the store some time before everybody is
    Given a host that places layers
    When the store refuses it for 4 s while others still hear from the store, and then answers nobody
    Then it gives no order in the first 4 s after its lease is no longer sure
    And it goes on placing within 3 s after nobody hears from the store

  Scenario: a holder whose lease was taken over
    Given a host that places layers
    When the store refuses it for 4 s and another host takes the lease over
    Then it no longer holds the lease

  Scenario: the holder of the lease stops while the store is away
    Given a host that places layers, and two more
    When the store answers nobody for 3 s and the holder stops
    Then the next in rank goes on placing at once, with the same fencing number
    And the host that stopped no longer holds the lease, and does not take it again
    When the store answers again within the lease's time
    Then the one that went on is sure of the lease

  Scenario: the holder stops while the store answers
    Given a host that places layers, and two more
    When the holder stops
    Then the next in rank is sure of the lease at its next look
    And the host that stopped no longer holds the lease, and does not take it again

  Scenario: the only host stops
    Given a host that places layers
    When the holder stops
    Then the lease is free in the store

  Scenario: a lease that comes late, after another host has taken it
    Given a host that places layers, and two more
    When the store answers nobody for 3 s and the holder stops after another host was seen with a higher number
    Then nobody goes on with the lease that was handed on

  Scenario Outline: a prompt is sent to another failure domain only where the pipe between them is wide
    Given two failure domains, of which the own one runs the last layers on slow replicas
    When the pipe between them carries <pipe> Mbit a second
    Then a path <crosses> the border between them

    Examples:
      | pipe   | crosses         |
      | 100000 | crosses         |
      | 6500   | does not cross  |
      | 2720   | does not cross  |

  Scenario: hosts of a large site that look elsewhere spread over all failure domains
    Given 5 failure domains of 41 replicas each with a whole copy, the own one without room
    When a host looks for 200 paths
    Then each other failure domain gets at least 25 of them, and none crosses a border within its path

  Scenario: a large site's only failure domain with room is found
    Given 5 failure domains of 41 replicas each with a whole copy, of which one other has room
    When a host looks for 50 paths
    Then each of them lies in that failure domain

  Scenario: deployments that nobody has tuned for come to rest with a path
    When layers are placed on 200 drawn deployments of 2 to 6 failure domains and 1 to 4 kinds
    Then each whose memory can hold the model comes to rest, without a gap
    And each of these has a path from every failure domain, which runs every layer once and in order
