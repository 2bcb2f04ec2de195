Feature: repeats of streams
  A stream may run at as many replicas as its route allows; those that have ended don't count.

  Scenario: a stream that hung at one replica and stalled behind another goes on at the second
    Given a stream whose route allows 2 replicas
    When its first replica "h1" is silent, and then a stage behind "h2" falls silent
    Then its next send may only go to "h2"

  Scenario: a stream that hung at as many replicas as it may is not sent again
    Given a stream whose route allows 2 replicas
    When its first replica "h1" is silent, and then "h2" is silent as well
    Then its next send may go nowhere

  Scenario: a replica that has left a probe without an answer does not count
    Given a stream whose route allows 2 replicas
    When its first replica "h1" is silent, and then "h2" is silent as well
    And "h1" leaves a probe without an answer
    Then its next send may go anywhere

  Scenario: a replica that has started again under its name does not count
    Given a stream whose route allows 2 replicas
    When its first replica "h1" is silent, and then "h2" is silent as well
    And "h2" starts again
    Then its next send may go anywhere

  Scenario: a replica that was tried and refused does not count
    Given a stream whose route allows 2 replicas
    When its first replica "h1" is silent, and then "h2" refuses it
    Then its next send may go anywhere

  Scenario: a path begins only at the replicas that it may begin at
    Given two failure domains with a whole copy each
    When a request of the first one may only begin at the first replica of the second
    Then its path begins there and runs every layer once
    When that replica must not be used
    Then there is no path

  Scenario Outline: what a send leaves behind that ends before its answer's first event
    Given a replica that <does> each request
    When a stream is sent to it, and the send is given up after 100 ms if it has not ended
    Then <sends> sends are counted and the stream <may> have run

    Examples:
      | does                              | sends | may     |
      | keeps without an answer           | 1     | may     |
      | refuses for want of room          | 1     | can not |
      | resets the connection of          | 1     | may     |
      | does not listen, and never sees   | 0     | can not |

  Scenario Outline: events that come together with bytes that are none are passed on before the stream goes on elsewhere
    Given a replica that sends events 1 and 2 together with <bytes>, and then <end>
    When a stream is sent to it and passed on
    Then its client has events 1 and 2, and the stream goes on after event 2

    Examples:
      | bytes                   | end                    |
      | event 9                 | ends its answer        |
      | an event without an id  | ends its answer        |
      | half an event           | ends its answer        |

  Scenario Outline: a stream whose connection closes goes on after what its client has
    Given a replica that sends events 1 and 2 together with <bytes>, and then closes its connection
    When a stream is sent to it and passed on
    Then the stream goes on after the last event that its client has

    Examples:
      | bytes          |
      | half an event  |
      | nothing        |
