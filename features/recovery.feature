Feature: recovery as seen by callers of entry hosts
  End-to-end versions of the scenarios of streams and quarantine, as seen by callers of three entry
  hosts that run as processes of their own.

  Scenario: a stage is killed while callers stream through three entry hosts
    Given three entry hosts before 2 engines for each of 2 ranges
    When 60 callers stream 60 to 80 tokens and engine "e1a" is killed once 45 of them have begun
    Then each caller got the complete text of their own prompt
    And no caller waited longer than 1000 ms for the next token after the kill

  Scenario: connections from entry hosts to the first stages go silent
    Given three entry hosts before 2 engines for each of 2 ranges
    When 30 callers stream 300 to 320 tokens and the first stages' connections go silent once 30 of them have begun
    Then each caller got the complete text of their own prompt
    And no caller waited longer than 2000 ms for the next token after the silence

  Scenario: a poison request through three entry hosts
    Given three entry hosts before 4 engines for each of 2 ranges that crash on a marked prompt
    When 30 callers keep streaming and the marked prompt is sent 6 times, each time through the next entry host
    Then at most 2 engine processes have ended
    And each caller got the complete text of their own prompt
    And the marked prompt was last refused with code 1501 by each entry host
