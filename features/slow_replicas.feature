Feature: slow replicas
  Replicas that answer probes but process requests slowly, and responses that are lost; tested
  without a network.

  Scenario Outline: a stream is slow when it gets less than half of the events expected from the engine's performance figures
    Given a path whose tokens take 14 ms, four of them in an event
    When its stream gets an event every <pause> ms for 5 s
    Then it <outcome>

    Examples:
      | pause | outcome                |
      | 56    | is never slow          |
      | 100   | is never slow          |
      | 150   | is slow within 900 ms  |
      | 700   | is slow within 900 ms  |

  Scenario: the wait for the first event does not make a stream slow
    Given a path whose tokens take 14 ms, four of them in an event
    When its stream gets its first event after 3 s and then one every 56 ms
    Then it is never slow

  Scenario: a host asks the replicas of a slow path once, and less often if none is slow
    Given a host that knows no slow replica
    When a stream on a path of 12 replicas is slow every 100 ms for 10 s and none reports to be slow
    Then each of them was asked 4 times

  Scenario: a slow replica gets no new streams while another holds its layers
    Given two replicas of one kind that hold all layers, and a host that sends streams to them
    When one of them reports a pace of 12
    Then all of 20 streams go to the other one
    When it reports a pace of 1 again
    Then both get some of 60 streams

  Scenario: hosts report slow replicas to each other, and only the one that found a slow replica rechecks it
    Given two hosts that report slow replicas to each other
    When the first one finds a replica slow
    Then both consider it slow for 10 s, and only the first one asks it, 9 or 10 times
    And neither considers it slow as soon as it reports a pace of 1
    And the second one drops the report 2.5 s after the last one from the first

  Scenario: two hosts that find a slow replica at the same time share the rechecks
    Given two hosts that report slow replicas to each other
    When both find a replica slow before they receive each other's report
    Then both consider it slow for 10 s, and the two ask it 11 times at most

  Scenario Outline: a first event is overdue compared to others of the same head replica
    Given a head replica whose last <count> first events took <usual> ms
    When a stream has waited <waited> ms for its first event, at a target of 500 ms
    Then it <outcome> overdue

    Examples:
      | count | usual | waited | outcome |
      | 8     | 60    | 200    | is not  |
      | 8     | 60    | 280    | is      |
      | 8     | 200   | 400    | is not  |
      | 3     | 60    | 400    | is not  |

  Scenario: streams with an overdue first event leave half of the retry budget to those that lost a replica
    Given a host whose share of the retry budget is 40
    When overdue streams are sent again as long as the budget allows
    Then 20 of them were sent again
    And 20 streams that lost a replica can still be sent again
