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

  Scenario: a request that crashed three replicas is refused on every host
    Given two hosts that tell each other of crashes
    When a request is running at three crashes, seen by either host
    Then both hosts refuse it
    And a request that was running at two of them is still served

  Scenario: one crash that two hosts saw counts once
    Given two hosts that tell each other of crashes
    When both hosts see the same crash three times
    Then neither refuses the request

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

  Scenario: another host's word about a replica is checked before it is believed
    Given a replica that is thought well of
    When another host tells that requests stall on it
    Then it is probed at once and gets no work until the probe has ended
    And it gets work again once it answers
    And the word is not told on
