Feature: bad input
  Whatever comes in, the answer is a numbered error at once, nothing runs, and the process lives.

  Scenario: malformed requests get their numbers
    Given a small site with three entry hosts
    When these requests are sent to entry host 0
      | method | path                 | token     | body                                             | code |
      | POST   | /v1/chat/completions | token-lab | {"model":                                        | 1001 |
      | POST   | /v1/chat/completions | token-lab | []                                               | 1001 |
      | POST   | /v1/chat/completions | token-lab | {"model": "dale-24"}                             | 1001 |
      | POST   | /v1/chat/completions | token-lab | {"model": "dale-24", "messages": []}             | 1001 |
      | POST   | /v1/chat/completions | token-lab | {"model": "dale-24", "messages": 7}              | 1001 |
      | POST   | /v1/completions      | token-lab | {"model": "dale-24", "prompt": "x", "n": 3}      | 1001 |
      | POST   | /v1/completions      | token-lab | {"model": "other", "prompt": "x"}                | 1004 |
      | POST   | /v1/completions      | wrong     | {"model": "dale-24", "prompt": "x"}              | 1101 |
      | POST   | /v1/completions      |           | {"model": "dale-24", "prompt": "x"}              | 1101 |
      | GET    | /v1/chat/completions | token-lab |                                                  | 1008 |
      | GET    | /nothing             | token-lab |                                                  | 1003 |
      | GET    | /services/other/x    | token-lab |                                                  | 1005 |
      | GET    | /services/rigs/x     | token-lab |                                                  | 1006 |
      | POST   | /services/rigs/reservations | token-lab | {}                                        | 1201 |
    Then each answer has its code, says not_run and came within 1000 ms
    And no engine and no service ran anything
    And entry host 0 is alive

  Scenario: a body over the bound is refused
    Given a small site with three entry hosts
    When a body of 9000000 bytes is sent to entry host 0
    Then the refusal of the large body is 1002

  Scenario: bad headers are refused
    Given a small site with three entry hosts
    When requests with bad deadlines and keys are sent to entry host 0
    Then each refusal of a bad header is 1007

  Scenario: random bytes harm nothing
    Given a small site with three entry hosts
    When random bytes and random JSON are sent to entry host 0
    Then every answer is an error below 500 or a closed connection
    And entry host 0 is alive
