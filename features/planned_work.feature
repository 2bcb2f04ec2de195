Feature: planned work
  Streams that run through a gateway while it is stopped, while configurations change what they were admitted by,
  while another gateway starts again, and while replicas pause.

  # Guards against connections that are closed while an answer is under way: by the end of a stop, by idle time-outs
  # or new limits, or as the route or the key of a running stream is gone (issue 28, hypothesis 3).
  Scenario Outline: 24 streams on kept connections are whole through <work>
    Given a site whose replicas send 60 events, 80 ms apart
    When 24 streams of a gateway run on kept connections through <work>
    Then all of the streams are whole with each event exactly once
    And no client waited for an event for 2 s
    And the gateway closed no connection of an unfinished answer

    Examples:
      | work                                                                      |
      | six configurations                                                        |
      | a planned stop, six configurations, another gateway's restart, two pauses |

  # Guards against a connection that counts as idle while its second request runs, as the end of the first was recorded
  # after the second had come; the stop closed it in the middle of the answer.
  Scenario: the answer to a request that follows the one before it at once is whole through a planned stop
    Given a front server whose streams end 5 ms before their requests do
    When a client sends two requests at once on one connection, and the server stops accepting during the second
    Then both requests have whole answers

  # Guards against requests that are taken late in a stop and cut without an answer at its end, among them
  # requests that may not be repeated.
  Scenario: whatever comes during a stop is answered, though no replica has answered by its end
    Given a site of two gateways, eight replicas and a store
    And every replica takes 20 s for an answer
    When a gateway stops, and requests that may not be repeated come each 0.3 s on connections of before and on new ones
    Then each that was sent on an open connection has an answer, and those after 3 s a promise that they have not run
    And no answer came later than the stop allows
