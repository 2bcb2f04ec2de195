Feature: silent replicas
  Replicas that give nothing for a while and then go on. A client that has waited for less than its
  limit gets its whole answer, whatever the gateway does meanwhile.

  # Guards against streams that end although their replicas would have finished them: a send was ended
  # for silence before there was another replica, attempt or retry budget to go on with (issue 28).
  Scenario Outline: <streams> streams are whole after <pauses> pauses of their replicas of <pause_ms> ms, <when> a planned stop
    Given a site whose replicas send 60 events, 50 ms apart
    When <streams> streams of a gateway run <when> a planned stop, and their replicas pause <pauses> times for <pause_ms> ms
    Then all of the streams are whole with each event exactly once
    And no client waited for an event for 2 s
    And no stream ran at more replicas than its route allows

    Examples:
      | streams | pauses | pause_ms | when    |
      | 8       | 1      | 1600     | during  |
      | 8       | 2      | 900      | during  |
      | 8       | 2      | 900      | without |
      | 60      | 1      | 900      | during  |
      | 60      | 1      | 900      | without |
      | 30      | 2      | 1200     | during  |

  # Guards against streams that end at replicas which answer questions but give no event for a while.
  # The second send has no event either until they go on, and the client's time is over before that.
  Scenario Outline: <streams> streams are whole after <pauses> pauses of <pause_ms> ms in which their replicas answer questions
    Given a site whose replicas send 60 events, 50 ms apart
    When <streams> streams of a gateway run without a planned stop, and their replicas give no event <pauses> times for <pause_ms> ms
    Then all of the streams are whole with each event exactly once
    And no client waited for an event for 2 s
    And no stream ran at more replicas than its route allows
    And silent sends had successors and were superseded

    Examples:
      | streams | pauses | pause_ms |
      | 8       | 2      | 1600     |
      | 60      | 1      | 1600     |

  # Guards against reads that fail at sound replicas: a silent send was ended before there was another
  # replica to send the read to.
  Scenario Outline: reads do not fail after a pause of their replicas of <pause_ms> ms, <when> a planned stop
    Given a site whose replicas send 60 events, 50 ms apart
    When 16 clients read through a gateway <when> a planned stop, and its replicas pause for <pause_ms> ms
    Then each read is answered by a replica or refused as not run

    Examples:
      | pause_ms | when    |
      | 900      | during  |
      | 900      | without |

  # Guards against a client that reads slowly and makes its replica look silent: no event can come from a send that
  # waits for its client to read.
  Scenario: a client that doesn't read for 2 s doesn't make its replica look silent
    Given a replica that sends a stream of 10 events within 0.1 s
    When a gateway relays it to a client that doesn't read for 2 s after the first event
    Then the client has 10 events of one send, none of which counted as silent
