Feature: departing replicas
  Streams are moved away from a replica that leaves before it exits, and are examined at once when a
  replica of their path is lost; tested in virtual time with fakes of the calls to replicas. Replicas
  leave 2,000 ms after they announced it.

  # Guards against streams that pause for 300 to 430 ms because they are moved only after the exit.
  Scenario: streams are moved before a leaving replica exits
    Given 40 streams over two replicas, the second of which has an alternative
    When the second replica announces its departure
    Then each stream is moved once, between 1000 and 1700 ms after the announcement
    And the moves are spread over more than 400 ms
    And 40 moves are counted as leaving

  # Guards against moves that cost a prefill without any use, or that are not allowed.
  Scenario Outline: a stream stays on a leaving replica
    Given 10 streams over two replicas, the second of which has an alternative
    And <reason>
    When the second replica announces its departure
    Then no stream is moved

    Examples:
      | reason                                                |
      | the streams end after 2200 ms by their length hint    |
      | the alternative is in another failure domain          |
      | the streams may crash their replicas                  |
      | the first replica is leaving too                      |
      | the alternative is unusable                           |
      | the streams are silent from 1400 ms on                |
      | the departure is withdrawn after 500 ms               |

  # Guards against an order that asks for another head, which engines can't carry out.
  Scenario: the head replica leaves
    Given 1 streams over two replicas, the second of which has an alternative
    And another replica holds the first layers too
    When the first replica announces its departure
    Then no stream is moved

  # Guards against a second move for the same departure when the record and a peer both announce it.
  Scenario: a departure that is announced again
    Given 1 streams over two replicas, the second of which has an alternative
    When the second replica announces its departure again after 900 ms
    Then each stream is moved once, between 1000 and 1700 ms after the announcement

  # Guards against a stream that waits for the next check although its replica is known to be down.
  Scenario Outline: a later replica counts as down
    Given 20 streams over two replicas, the second of which has an alternative
    When the streams fall silent after 730 ms and the second replica counts as down <after> ms later
    Then each stream is moved once, after a pause of <pause> to <most> ms
    And 20 moves are counted as stalled

    Examples:
      | after | pause | most |
      | 5     | 90    | 93   |
      | 40    | 90    | 93   |
      | 125   | 125   | 128  |

  # Guards against an alert that is lost while the head replica is asked for a report.
  Scenario: a later replica counts as down while the stream is examined
    Given 1 streams over two replicas, the second of which has an alternative
    And the head replica takes 150 ms for a report
    When the streams fall silent after 730 ms and the second replica counts as down 350 ms later
    Then each stream is moved once, after a pause of 350 to 470 ms

  # Guards against checks in quick succession while a stream has events although a replica of its path
  # counts as down.
  Scenario: a replica counts as down by mistake
    Given 1 streams over two replicas, the second of which has an alternative
    When the second replica counts as down and the stream goes on for 3000 ms
    Then no stream is moved
    And the stream was examined at most 80 times

  # Guards against the same checks while a silent stream must not be moved.
  Scenario: a silent stream may crash its replicas
    Given 1 streams over two replicas, the second of which has an alternative
    And the streams may crash their replicas
    When the streams fall silent after 730 ms and the second replica counts as down 5 ms later
    Then no stream is moved
    And the stream was examined at most 6 times

  # Guards against a stream that is given up because one part of the new path has become full.
  Scenario: a part of the new path rejects a move
    Given 1 streams over two replicas, the second of which has two alternatives
    And the first alternative rejects every move
    When the streams fall silent after 730 ms and the second replica counts as down 5 ms later
    Then the streams are moved to the other alternative by the second order
    And the first alternative gets no new requests for 150 ms

  Scenario: all parts of new paths reject a move
    Given 1 streams over two replicas, the second of which has two alternatives
    And every alternative rejects every move
    When the streams fall silent after 730 ms and the second replica counts as down 5 ms later
    Then 2 orders are sent before the move is given up

  # Guards against orders at every check for a stream that can't be moved.
  Scenario: all parts of new paths reject a move away from a leaving replica
    Given 1 streams over two replicas, the second of which has two alternatives
    And every alternative rejects every move
    When the second replica announces its departure
    Then 2 orders are sent in all

  # Guards against a rejection whose cause is not read from the answer.
  Scenario Outline: the answer to an order names the part that rejects a move
    Given a head replica that answers an order with 409, header "<header>" and body "<body>"
    When it is ordered to move a stream to a path over 127.0.0.1:41 and 127.0.0.1:4102
    Then the part at fault is "<fault>"

    Examples:
      | header         | body                              | fault          |
      | 127.0.0.1:4102 |                                   | 127.0.0.1:4102 |
      |                | no memory at 127.0.0.1:4102.      | 127.0.0.1:4102 |
      |                | {'address':'127.0.0.1:4102'}      | 127.0.0.1:4102 |
      |                | 127.0.0.1:4109 is not there       |                |
      |                |                                   |                |

  # Guards against departures that no stream hears of, and against repeated notifications.
  Scenario: the view notifies of departures once
    Given a view of a site that reports departures
    When its record is written as draining, twice, and then removed
    Then its departure is notified once, and its removal once
    When it has started again and another host reports that it is leaving
    Then the departure of the new run is notified once

  # Guards against streams that pause for 300 to 450 ms after a crash: each host waited up to 100 ms
  # until it probed the replica that others or a refusal had named, and so did the first host.
  Scenario Outline: a replica that is suspected is probed at once
    Given a host that probes replicas, of which 20 are known
    When 1 replica is suspected <after> ms after the start, and each probe fails after 2 ms
    Then it counts as down within 10 ms, and was probed once

    Examples:
      | after |
      | 35    |
      | 101   |
      | 190   |

  # Guards against a storm of probes where many requests name replicas one after the other.
  Scenario: replicas that are suspected one after the other are probed in bounded rounds
    Given a host that probes replicas, of which 20 are known
    When 20 replicas are suspected one each 2 ms, and each probe fails after 2 ms
    Then all count as down within 120 ms, and at most 16 were probed at once
