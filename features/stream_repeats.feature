Feature: retries of streams
  A stream may run at as many head replicas as its route allows; replicas that have stopped do not
  count.

  Scenario: a stream that hung at one head replica and stalled behind another is resumed at the second
    Given a stream whose route allows 2 replicas
    When its head replica "h1" is unresponsive, and then a stage behind "h2" becomes unresponsive
    Then its next send may only go to "h2"

  Scenario: a stream that hung at as many head replicas as its route allows is not sent again
    Given a stream whose route allows 2 replicas
    When its head replica "h1" is unresponsive, and then "h2" is unresponsive as well
    Then its next send may go nowhere

  Scenario: a replica that has failed a probe does not count
    Given a stream whose route allows 2 replicas
    When its head replica "h1" is unresponsive, and then "h2" is unresponsive as well
    And "h1" fails a probe
    Then its next send may go anywhere

  Scenario: a replica that has restarted under the same id does not count
    Given a stream whose route allows 2 replicas
    When its head replica "h1" is unresponsive, and then "h2" is unresponsive as well
    And "h2" restarts
    Then its next send may go anywhere

  # Guards against a stream that runs at more replicas than its route allows as one leaves without a word.
  Scenario Outline: a replica whose record is gone counts until it has ended
    Given a stream whose route allows 2 replicas
    When the connection to its head replica "h1" breaks
    And "h1" is removed from the store
    And the connection to its head replica "h2" breaks
    Then its next send may go nowhere
    When a probe of it <ends>
    Then its next send may go <where>

    Examples:
      | ends                           | where    |
      | is answered                    | nowhere  |
      | fails                          | anywhere |
      | is answered by another replica | anywhere |

  # Guards against a send that isn't counted because its replica was removed while it ran.
  Scenario: a replica that is removed before its send ends counts as well
    Given a stream whose route allows 2 replicas
    When its head replica "h1" is removed from the store, and then its connection breaks
    And the connection to its head replica "h2" breaks
    Then its next send may go nowhere

  # Guards against a silent send that isn't counted because its replica was removed while it ran.
  Scenario: a silent send at a replica that is removed counts
    Given a stream whose route allows 2 replicas
    When the connection to its head replica "h2" breaks
    And a silent send goes on at "h1"
    And "h1" is removed from the store
    Then its successor may go nowhere

  Scenario: a replica that was tried and refused does not count
    Given a stream whose route allows 2 replicas
    When its head replica "h1" is unresponsive, and then "h2" refuses it
    Then its next send may go anywhere

  Scenario: a path begins only at an allowed head replica
    Given two failure domains with a complete copy of the model each
    When a request of the first domain may only begin at the first replica of the second
    Then its path begins there and runs every layer once
    When that replica must not be used
    Then there is no path

  Scenario Outline: state after a send that ends before the first event of its response
    Given a replica that <does> each request
    When a stream is sent to it, and the send is cancelled after 100 ms if it has not ended
    Then <sends> sends are counted and the stream <may> have run

    Examples:
      | does                              | sends | may     |
      | keeps without an answer           | 1     | may     |
      | refuses for want of room          | 1     | can not |
      | resets the connection of          | 1     | may     |
      | does not listen, and never sees   | 0     | can not |

  Scenario Outline: events received together with invalid bytes are relayed before the stream is resumed elsewhere
    Given a replica that sends events 1 and 2 together with <bytes>, and then <end>
    When a stream is sent to it and relayed
    Then its client has events 1 and 2, and the stream resumes after event 2

    Examples:
      | bytes                   | end                    |
      | event 9                 | ends its answer        |
      | an event without an id  | ends its answer        |
      | half an event           | ends its answer        |

  Scenario Outline: a stream whose connection closes is resumed after the last event that its client has
    Given a replica that sends events 1 and 2 together with <bytes>, and then closes its connection
    When a stream is sent to it and relayed
    Then the stream resumes after the last event that its client has

    Examples:
      | bytes          |
      | half an event  |
      | nothing        |
