Feature: http calls
  A reader that is cancelled stops, whatever arrives at that moment.

  Scenario: a cancel that meets a chunk is not lost
    Given a server that sends a chunk of a response and then waits
    When a reader of the response is cancelled in the very turn in which a chunk arrives
    Then the reader ends as cancelled

  # Guards against sockets that stay open until the system gives them up, one for each caller that left or
  # ran out of time while its connection was opened: a cut domain used up a process's descriptors.
  Scenario Outline: calls to an address that swallows packets keep no sockets once <what>
    When 10 calls a second go for 30 s to an address that swallows packets, and <what> after 300 ms
    Then the process never had more than 10 descriptors beyond those of before

    Examples:
      | what                     |
      | their callers have left  |
      | their time is over       |
