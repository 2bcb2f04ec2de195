Feature: the last requests before a planned stop
  What a client has sent before the listening socket and its connection close gets an answer.

  Scenario Outline: a request that waits unread as the host closes is answered
    Given <server> with <count> connections that <state>
    When each sends a request while the host is busy, and the host closes right after
    Then each request has one whole answer, and its connection closes after it

    Examples:
      | server          | count | state                                   |
      | a gateway       | 1     | wait to be accepted                     |
      | a gateway       | 40    | wait to be accepted                     |
      | a gateway       | 20    | were accepted and had no request yet    |
      | a gateway       | 20    | have had an answer                      |
      | an entry host   | 1     | wait to be accepted                     |
      | an entry host   | 40    | wait to be accepted                     |
      | an entry host   | 20    | were accepted and had no request yet    |
      | an entry host   | 20    | have had an answer                      |

  Scenario: connections without a request don't hold up the stop
    Given a gateway with 20 connections that have had an answer
    When the host closes
    Then it has closed all of them within 500 ms
