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

  # Guards against a status of 000, or a line that is no header field, that is taken for an answer.
  Scenario: no answer that is not valid HTTP is taken for one
    When a server sends each kind of odd answer to a call and to a stream
    Then each failed at once as a call that was sent

  # Guards against a check of heads that refuses valid answers.
  Scenario: valid answers of unusual form are taken
    When a server sends each of these answers to a call and to a stream
      | answer                                  |
      | status 200                              |
      | status 204                              |
      | status 299                              |
      | status 404                              |
      | status 599                              |
      | a status line without a reason          |
      | HTTP/1.0                                |
      | interim heads ahead of it               |
      | a name of all characters that it may have |
      | a value with a tab and bytes over 0x7f  |
      | an empty value                          |
      | chunks                                  |
      | no length                               |
    Then each was taken whole

  # Guards against an HTTP library that lets more through than the installed one.
  Scenario: a response's head is checked whatever the HTTP library checks
    Then the check of heads finds each odd status, name and value, and nothing in sound heads
