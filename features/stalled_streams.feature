Feature: streams that pause
  A stream that waits for a replica which is known to be down goes on elsewhere without a further question.

  Scenario: the loss of a later replica is known from other requests
    Given a stream over two replicas, the second of which has a stand-in
    When another request finds the second replica down
    Then a pause of 90 ms is looked into
    And the stream is moved past it without a question to the first replica

  Scenario: a later replica is only doubted
    Given a stream over two replicas, the second of which has a stand-in
    When another host doubts the second replica
    Then a pause is looked into after 260 ms
    And the first replica is asked what the stream waits for

  Scenario: a later replica's record is gone
    Given a stream over two replicas, the second of which has a stand-in
    When the second replica's record is removed
    Then a pause of 90 ms is looked into
    And the stream is moved past it without a question to the first replica

  Scenario: a stream that is slow but sound is not cut where it can't go on elsewhere
    Given a stream over two replicas, the second of which has a stand-in
    When the share of repeats is spent and no event has come from the first replica for 1400 ms
    Then the stream is waited for

  Scenario: a stream whose connection is dead is given up, as others of the same replica go on
    Given a stream over two replicas, the second of which has a stand-in
    When the share of repeats is spent and no event has come from the first replica for 1400 ms
    But another stream of the first replica has had an event since
    Then the stream is given up

  Scenario: a silent stream that can go on elsewhere does so
    Given a stream over two replicas, the second of which has a stand-in
    And another replica that can be the first
    When no event has come from the first replica for 1400 ms
    Then the stream is given up
