Feature: endless responses
  Faulty servers send invalid bytes without end until the caller closes the connection, or only a
  byte now and then.

  Scenario Outline: a response without end is abandoned, and its connection is closed
    Given a server that sends <bytes> without end
    When 12 concurrent calls wait for a complete response
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

  # Guards against replicas whose failures to streams have no end and take the memory of the gateway.
  Scenario: failures without end to streams and reads leave a gateway's memory and other clients alone
    Given a site of two gateways, eight replicas and a store
    When 25 clients ask a gateway for nothing but failures without end for 6 s
    Then the gateway takes at most 200 MB, and answers each of those clients with a failure
    And each sound stream and read beside them was whole
    And the gateway counts the bodies that it abandoned

  # Guards against engines whose refusals have no end and take the memory of an entry host.
  Scenario: a refusal without end of an engine is abandoned
    Given a server that sends a failure without end
    When 12 streams are opened at it as at an engine
    Then each call fails within 8 s as one that may have run
    And the process grew by less than 96 MB
    And the server saw each connection close

  # Guards against responses without end whose readers wait, as their clients don't read.
  Scenario Outline: what is read ahead of a reader that doesn't read is bounded
    Given a server that sends <bytes> without end
    When 40 responses are opened and none is read for 1 s
    Then the process grew by less than 32 MB
    And the server saw each connection close

    Examples:
      | bytes                   |
      | a body without a length |
      | chunks                  |
      | chunks of one byte      |

  # Guards against sound responses that fail because a faulty server fills the memory they share.
  Scenario Outline: sound responses of 0.1 to 4 MB are whole while <callers> calls read ones without end
    Given four sound servers, and one that sends chunks without end
    When 8 callers read sound responses of 0.1 to 4 MB for 4 s, beside <callers> of the faulty server
    Then every sound response was whole, and there were at least 60
    And the process grew by less than 128 MB

    Examples:
      | callers |
      | 2       |
      | 8       |
      | 24      |

  Scenario: short responses are read while endless ones use up the shared buffer space
    Given a server that sends chunks without end
    When 12 concurrent calls wait for a complete response
    And short responses are requested repeatedly meanwhile
    Then each short response was complete

  Scenario Outline: a stream without valid events is aborted after a bounded number of bytes
    When 64 bytes of <bytes> arrive repeatedly
    Then no event is returned, and the stream is aborted before 512 KB have arrived
    And that took less than 2 s of CPU time

    Examples:
      | bytes                  |
      | an event without end   |
      | comments               |

  Scenario: comments between events are dropped
    When a stream has a comment after each of 1000 events
    Then its events are returned complete and without comments

  Scenario: an engine that sends comments instead of events counts as silent
    Given an engine whose stream has comments every 50 ms and no event
    When its events are read with a silence timeout of 400 ms
    Then the stream is silent after 0.4 to 1.5 s
