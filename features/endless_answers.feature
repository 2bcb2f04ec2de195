Feature: endless answers
  Servers in trouble send bytes that are no answer, without end, until the caller closes; or a byte now and then.

  Scenario Outline: an answer without end is given up, and its connection closed
    Given a server that answers with <bytes> without end
    When 12 calls wait for a whole answer at once
    Then each call fails within 8 s as one that may have run
    And the process grew by less than 96 MB
    And the server saw each connection close

    Examples:
      | bytes                        |
      | a header                     |
      | a header line                |
      | informational answers        |
      | a body without a length      |
      | chunks                       |
      | a chunk size                 |

  Scenario: short answers pass while endless ones fill what is kept for all
    Given a server that answers with chunks without end
    When 12 calls wait for a whole answer at once
    And a short answer is asked for meanwhile, again and again
    Then each short answer was whole

  Scenario Outline: a stream of what are no events is broken off after a bounded number of bytes
    When 64 bytes of <bytes> come again and again
    Then no event is passed on, and it is given up before 512 KB have come
    And that took less than 2 s of processor

    Examples:
      | bytes                  |
      | an event without end   |
      | comments               |

  Scenario: comments between events are left out and harm nothing
    When a stream has a comment after each of 1000 events
    Then its events come out whole and alone

  Scenario: an engine that sends comments in place of events counts as silent
    Given an engine whose stream has comments every 50 ms and no event
    When its events are read with a silence time-out of 400 ms
    Then the stream is silent after 0.4 to 1.5 s
