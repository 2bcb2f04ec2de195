Feature: paused gateway
  A gateway whose process doesn't run for a while, as its machine pauses or has no processor for it, while the
  replicas go on.

  # Guards against a gateway that takes its own pause for the silence of its replicas: it spent sends and retry
  # budget on streams whose events waited in its sockets (issue 28, hypothesis 2).
  Scenario Outline: <streams> streams are whole after the gateway itself didn't run for 1.5 s, with <stop>
    Given a site whose replicas send 60 events, 50 ms apart
    When <streams> streams of a gateway run, which is frozen for 1.5 s with <stop>
    Then all of the streams are whole with each event exactly once
    And no client waited for an event for 2 s
    And the gateway held its own pause against no replica
    And the gateway logged once that it didn't run for 1.5 s

    Examples:
      | streams | stop                       |
      | 30      | no planned stop            |
      | 30      | a planned stop right at it |

  # Guards against replicas that count as down as a call's time-out passed while the gateway didn't run: the answer
  # waits in a socket, but the time-out is handled first.
  Scenario: a report whose time-out passes while the process doesn't run is asked again
    Given a replica that answers a report after 30 ms
    When a gateway asks for its report and doesn't run for 800 ms meanwhile
    Then it has the report after 2 questions

  # Guards against endless questions to a replica that is lost.
  Scenario: a report of a replica that is silent is asked once
    Given a replica that gives no report
    When a gateway asks for its report and runs all the while
    Then it has no report after 1 question

  # Guards against the same at the opening of a connection.
  Scenario Outline: a replica that isn't connected to in time <is_down> if the process <ran>
    Given a replica whose connection was begun 600 ms ago
    When the time-out of the connection passes at a gateway that <ran>
    Then the replica <is_down> and is due for a probe

    Examples:
      | ran                | is_down                  |
      | ran all the while  | counts as down           |
      | paused for 500 ms  | doesn't count as down    |

  # Guards against a gateway on a slow machine that never notices a lost replica.
  Scenario: silence adds up between the pauses of a process that pauses often
    Given a process that runs 200 ms and pauses 300 ms in turn
    When a replica has been silent for 4 s of it
    Then 1600 ms of its silence count, and at most one tick more for each of 8 pauses
