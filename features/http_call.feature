Feature: http calls
  A reader that is cancelled stops, whatever arrives at that moment.

  Scenario: a cancel that meets a chunk is not lost
    Given a server that sends a chunk of a response and then waits
    When a reader of the response is cancelled in the very turn in which a chunk arrives
    Then the reader ends as cancelled
