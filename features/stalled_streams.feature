Feature: stalled streams
  A stream that waits for a replica which is known to be down is moved without asking its head
  replica first.

  Scenario: a later replica is known to be down from other requests
    Given a stream over two replicas, the second of which has an alternative
    When another request finds the second replica down
    Then a pause of 90 ms is investigated
    And the stream is moved past it without a question to the head replica

  Scenario: a later replica is only suspected
    Given a stream over two replicas, the second of which has an alternative
    When another host reports that requests stall on the second replica
    Then a pause is investigated after 260 ms
    And the head replica is asked what the stream waits for

  Scenario: a later replica's record has been removed
    Given a stream over two replicas, the second of which has an alternative
    When the second replica's record is removed
    Then a pause of 90 ms is investigated
    And the stream is moved past it without a question to the head replica

  Scenario: a silent send goes on if there is no retry budget for a successor
    Given a stream over two replicas, the second of which has an alternative
    And another replica that can be the head
    When the retry budget is spent and no event has come from the head replica for 1400 ms
    Then the send goes on, and gets no successor because of no retry budget

  Scenario: a silent send goes on if no other replica can be the head
    Given a stream over two replicas, the second of which has an alternative
    When no event has come from the head replica for 1400 ms
    Then the send goes on, and a successor waits for a path

  Scenario: a silent send goes on beside a successor elsewhere
    Given a stream over two replicas, the second of which has an alternative
    And another replica that can be the head
    When no event has come from the head replica for 1400 ms
    Then the send goes on, and gets a successor elsewhere
