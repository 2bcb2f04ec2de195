Feature: forwarding decisions
  The components that decide how a request is forwarded, each tested without a network.

  Scenario Outline: the longest matching path prefix of the host's routes wins
    Given routes for "/", "/a/" and "/a/b/" of one host
    Then the path "<path>" leads to the route "<route>"

    Examples:
      | path         | route |
      | /a/b/c       | /a/b/ |
      | /a/b/        | /a/b/ |
      | /a/b         | /a/   |
      | /a/x?y=/a/b/ | /a/   |
      | /other       | /     |

  Scenario: another host name has no route
    Given routes for "/", "/a/" and "/a/b/" of one host
    Then another host name has no route

  Scenario: events are complete regardless of how the stream is split into chunks
    Then 200 random splits of a stream give the same events, and an incomplete event is held back

  Scenario: missing and repeated events in a stream are detected
    Then event "4" directly follows "3", but neither "3" nor "5" does

  Scenario: many hosts together stay within the retry budget
    Given 6 hosts with a retry budget of 0.2 for each request plus 196 in 10 s
    When each gets 50 requests and retries as often as it may for 30 s
    Then in no period of 10 s does the service get more retries than the budget allows

  Scenario: the loads reported by another host count until they expire
    Given a host that has a report of 5 requests at a replica and has 2 of its own
    Then the replica counts 7 requests now and 2 after 2 s

  Scenario: loads are encoded compactly and decode to the same values
    Then the loads of 40 replicas take at most 600 bytes and decode to the same within rounding

  Scenario: a replica is suspected after a broken stream, and gets requests while it answers probes
    Given a healthy replica
    When a stream to it breaks
    Then it is probed and still gets requests
    And it gets no requests once a probe has failed
    And its layers count as lost only after that
    And it gets requests again once it answers

  Scenario: a replica that fails part of its requests is chosen less often
    Given two replicas of a plain service, one of which fails half of its requests
    When 200 requests choose one of them
    Then the failing one gets fewer than 40

  Scenario: replicas in other failure domains get requests only when those in the host's own are busy
    Given one replica of a plain service in this failure domain and one in another
    When 40 requests choose one of them, each ending before the next
    Then all go to the replica in the host's own domain
    And of 8 concurrent requests some go to the other replica

  Scenario: a replica that every host finds unresponsive is reported once
    Given a replica that another host has reported
    When this host finds it unresponsive 100 ms later
    Then this host does not report it
    And this host reports it when it finds it unresponsive again 3 s later

  Scenario: hosts share the probes of a replica that is down
    Given 80 hosts that report to each other a replica that is down for 20 s
    Then the replica is probed at most 60 times a second
    And all hosts send it requests again within 1 s of its recovery

  Scenario: two unresponsive replicas show that their failure domain is partitioned
    Given 3 failure domains of 9 replicas, seen from the first one
    When a request stalls on one replica of the second domain
    Then the other replicas of that domain get requests
    When another replica of it can't be connected to 300 ms later
    Then no replica of that domain gets requests, and 3 are probed besides the two
    And the replicas of the first and the third domain get requests
    And all of the second domain but the unresponsive ones get requests again once one answers

  Scenario: refusals that name replicas of another failure domain show that it may be partitioned
    Given 3 failure domains of 9 replicas, seen from the first one
    When a head replica of the host's own domain refuses a request at once and names a replica of the second
    And it refuses another and names one more of them 50 ms later
    Then no replica of that domain gets requests, and 3 are probed besides the two
    And the replicas of the first and the third domain get requests
    And the whole second domain gets requests again once one answers and 150 ms have passed

  Scenario: a full replica is probed once a second and gets no requests after a refusal
    Given 3 failure domains of 9 replicas, seen from the first one
    When a replica of the host's own domain is named in a refusal every 50 ms for 3 s and answers each probe
    Then it was probed 3 times
    And it got no requests in the 150 ms after each refusal
    And all other replicas got requests all the time

  Scenario: the replicas of two partitioned failure domains are probed in turn
    Given 3 failure domains of 9 replicas, seen from the first one
    When all replicas of the second and the third domain are unresponsive
    Then each of them is probed at least once in 2.5 s

  Scenario: a failure domain that stays partitioned gets no requests
    Given 3 failure domains of 9 replicas, seen from the first one
    When two replicas of the second domain can't be connected to
    And no probe of that domain is answered for 3 s
    Then no replica of that domain has got requests meanwhile

  Scenario: a few unresponsive replicas do not make a large failure domain count as partitioned
    Given 3 failure domains of 40 replicas, seen from the first one
    When two replicas of the second domain can't be connected to
    Then the other 38 of the second domain get requests

  Scenario: a host probes a limited number of replicas at once
    Given 3 failure domains of 40 replicas, seen from the first one
    When all replicas of the third domain are suspected at once
    Then no more than 8 are probed in each round until all have been

  Scenario: two unresponsive replicas of the host's own failure domain do not make it count as partitioned
    Given 3 failure domains of 9 replicas, seen from the first one
    When two replicas of the first domain can't be connected to
    Then the other 7 of that domain get requests

  Scenario: another host's report about a replica is verified by a probe
    Given a healthy replica
    When another host reports that requests stall on it
    Then it is probed at once and gets no requests until the probe has ended
    And it gets requests again once it answers
    And the report is not passed on to other hosts

  Scenario: the sum of the other hosts' loads follows each of their reports
    Given a host that gets expiring load reports from three others in turn
    Then after each of 200 reports and pauses the sum is that of the reports that are still valid
