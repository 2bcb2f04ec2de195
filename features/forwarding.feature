Feature: decisions of forwarding
  The parts that decide about a request, each without a network.

  Scenario Outline: the longest prefix of the host's routes wins
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

  Scenario: events come out whole however the stream is cut
    Then 200 random cuts of a stream give the same events, and a part of an event is kept back

  Scenario: a gap and a repeat in a stream are noticed
    Then event "4" follows "3", and neither "3" nor "5" does

  Scenario: many hosts together stay within the bound on repeats
    Given 6 hosts with the bound of 0.2 for each request and 196 besides in 10 s
    When each gets 50 requests and wants to repeat without end for 30 s
    Then in no 10 s the service gets more repeats than the bound allows

  Scenario: another host's loads count until they are out of date
    Given a host that was told of 5 requests at a replica and has 2 of its own
    Then the replica counts 7 requests at once and 2 after 2 s

  Scenario: loads travel in few bytes and come back as they were
    Then the loads of 40 replicas take at most 600 bytes and decode to the same within rounding

  Scenario: a broken stream makes a suspect, which keeps its work while it answers
    Given a replica that is thought well of
    When a stream breaks off at it
    Then it is probed and keeps its work
    And it gets none once a probe went without an answer
    And its layers count as lost only then
    And it gets work again once it answers

  Scenario: a replica that fails part of its answers is chosen less
    Given two replicas of a plain service, one of which fails half of its answers
    When 200 requests choose one of them
    Then the failing one gets fewer than 40

  Scenario: replicas in other failure domains get requests only when the own one is busy
    Given one replica of a plain service in this failure domain and one in another
    When 40 requests choose one of them, each ending before the next
    Then all go to the own one
    And of 8 at once some go to the other one

  Scenario: a replica that every host finds silent is told of once
    Given a replica that another host has told of
    When this host finds it silent 100 ms later
    Then its own word is not told
    And it is told when the host finds the replica silent again 3 s later

  Scenario: hosts share the probes of a replica that is down
    Given 80 hosts that tell each other of a replica that is down for 20 s
    Then the replica is probed at most 60 times a second
    And all hosts give it work again within 1 s of its return

  Scenario: a failure domain that is cut off is found out by two of its replicas
    Given 3 failure domains of 9 replicas, seen from the first one
    When a request stalls on one replica of the second domain
    Then the other replicas of that domain get work
    When another replica of it can't be connected to 300 ms later
    Then no replica of that domain gets work, and 3 are probed besides the two
    And the replicas of the first and the third domain get work
    And all of the second but the silent ones get work again once one answers

  Scenario: refusals that name replicas of another failure domain show that it may be cut off
    Given 3 failure domains of 9 replicas, seen from the first one
    When a first replica of the own domain refuses a request at once and names a replica of the second
    And it refuses another and names one more of them 50 ms later
    Then no replica of that domain gets work, and 3 are probed besides the two
    And the replicas of the first and the third domain get work
    And the whole second domain gets work again once one answers and 150 ms have passed

  Scenario: a full replica is asked once a second whether it lives, and passed over meanwhile
    Given 3 failure domains of 9 replicas, seen from the first one
    When a replica of the own domain is named in a refusal every 50 ms for 3 s and answers each probe
    Then it was probed 3 times
    And it got work in none of the 150 ms after a refusal
    And all other replicas got work all the while

  Scenario: the replicas of two domains that are cut off are probed in turn
    Given 3 failure domains of 9 replicas, seen from the first one
    When all replicas of the second and the third domain have fallen silent
    Then each of them is probed at least once in 2.5 s

  Scenario: a failure domain that stays cut off stays doubted
    Given 3 failure domains of 9 replicas, seen from the first one
    When two replicas of the second domain can't be connected to
    And no probe of it has an answer for 3 s
    Then no replica of that domain has got work meanwhile

  Scenario: a few silent replicas of a large failure domain are just a few
    Given 3 failure domains of 40 replicas, seen from the first one
    When two replicas of the second domain can't be connected to
    Then the other 38 of the second domain get work

  Scenario: a host probes few replicas at once
    Given 3 failure domains of 40 replicas, seen from the first one
    When all replicas of the third domain are suspected at once
    Then no more than 8 are probed in each round until all have been

  Scenario: two replicas of the own failure domain that fall silent are just two
    Given 3 failure domains of 9 replicas, seen from the first one
    When two replicas of the first domain can't be connected to
    Then the other 7 of that domain get work

  Scenario: another host's word about a replica is checked before it is believed
    Given a replica that is thought well of
    When another host tells that requests stall on it
    Then it is probed at once and gets no work until the probe has ended
    And it gets work again once it answers
    And the word is not told on

  Scenario: the sum of the others' loads follows each of their words
    Given a host that hears of loads from three others in turn, in words that lapse
    Then after each of 200 words and pauses the sum is that of the words that still hold
