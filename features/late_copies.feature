Feature: late copies of answers
  An answer that comes late, or twice, reaches nobody else.

  Scenario: a server that sends each answer twice, the second one late
    Given a server that sends each answer again 30 ms after it
    When 40 requests are made one after the other, 5 at a time
    Then each has its own answer, on a connection of its own

  Scenario: another host that answers a question after its asker gave up
    Given a host that answers its first question 300 ms late and all others at once
    When it is asked with a time-out of 100 ms on kept connections, 6 times
    Then the first question has no answer, and each other one has its own
