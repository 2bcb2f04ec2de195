Feature: overlapping sends
  # Guards against a search that outlives the silence of its send: it held the first place of the
  # queue, so that new streams were refused.
  Scenario: a silent send goes on before there is a path for a successor
    Given a stream whose only send is silent for 900 ms and then goes on
    When no path is free for a successor
    Then nothing of the stream waits in the queue once it has gone on
    And a new stream gets a path at once

  # Guards against a successor that answers a request a second time.
  Scenario: a silent send is whole while its replica is asked for a report
    Given a stream whose only send is whole after 1050 ms without a further event
    When a path for a successor is free from 1150 ms on
    Then no successor is sent

  # Guards against a third send that takes a stream from the send that goes on with it.
  Scenario: the first send goes on while a third one is sought for its silent successor
    Given a stream whose first send pauses for 1950 ms and whose second one has the same event later
    When a path for a third send is free from 2000 ms on
    Then the first send finishes the stream
