Feature: slow replicas
  Replicas that answer their probes but work slowly, and answers that never come; without a network.

  Scenario Outline: a stream crawls when it gets less than half of the events that the engine's figures say
    Given a path whose tokens take 14 ms, four of them in an event
    When its stream gets an event every <pause> ms for 5 s
    Then it <outcome>

    Examples:
      | pause | outcome                |
      | 56    | never crawls           |
      | 100   | never crawls           |
      | 150   | crawls within 900 ms   |
      | 700   | crawls within 900 ms   |

  Scenario: the wait for the first event does not make a stream crawl
    Given a path whose tokens take 14 ms, four of them in an event
    When its stream gets its first event after 3 s and then one every 56 ms
    Then it never crawls

  Scenario: a host asks the replicas of a path once, and less often where none is slow
    Given a host that knows of no slow replica
    When a stream on a path of 12 replicas crawls every 100 ms for 10 s and none reports to be slow
    Then each of them was asked 4 times

  Scenario: a slow replica gets no new streams while another holds its layers
    Given two replicas of one kind that hold all layers, and a host that sends streams to them
    When one of them reports a pace of 12
    Then all of 20 streams go to the other one
    When it reports a pace of 1 again
    Then both get some of 60 streams

  Scenario: hosts tell each other of slow replicas, and the one that found it asks it again
    Given two hosts that tell each other of slow replicas
    When the first one finds a replica slow
    Then both hold it for slow for 10 s, and only the first one asks it, 9 or 10 times
    And neither holds it for slow at once when it reports a pace of 1
    And the second one forgets the word 2.5 s after the first one fell silent

  Scenario: two hosts that find a slow replica at the same moment share the questions
    Given two hosts that tell each other of slow replicas
    When both find a replica slow before they hear of each other
    Then both hold it for slow for 10 s, and the two ask it 11 times at most

  Scenario Outline: a first event is overdue against others of the same first replica
    Given a first replica whose last <count> first events took <usual> ms
    When a stream has waited <waited> ms for its first event, at a target of 500 ms
    Then it <outcome> overdue

    Examples:
      | count | usual | waited | outcome |
      | 8     | 60    | 200    | is not  |
      | 8     | 60    | 280    | is      |
      | 8     | 200   | 400    | is not  |
      | 3     | 60    | 400    | is not  |

  Scenario: streams whose first event is overdue leave half of the repeats to those that lost a replica
    Given a host whose share of repeats is 40
    When overdue streams are sent once more as long as they may
    Then 20 of them were
    And 20 streams that lost a replica can still be sent once more
