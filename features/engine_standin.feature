Feature: engine stand-in
  The stand-in engines give the reference text only when each layer runs once and in order, and
  fail as real ones do.

  Scenario: three engines give the reference text
    Given a pipeline of 3 stand-in engine processes with 24 layers
    When the prompt "anneal [tokens=40]" is sent along the engines
    Then the engines' text is the reference text of 40 tokens
    And every token's receipt from the engines tiles the layers
    And the engines' journals show each of 40 tokens run once at each stage

  Scenario Outline: a wrong layer changes the text
    Given a pipeline of 3 stand-in engine processes with 24 layers
    And stand-in engine <engine> gives the wrong answer "<fault>"
    When the prompt "anneal [tokens=40]" is sent along the engines
    Then the engines' text is not the reference text of 40 tokens
    And some token's receipt from the engines does not tile the layers

    Examples:
      | engine | fault         |
      | e0     | doubled_layer |
      | e1     | skipped_layer |

  Scenario: a killed stage ends the stream
    Given a pipeline of 3 stand-in engine processes with 24 layers
    When the prompt "anneal [tokens=4000]" is sent along the engines and "e2" is killed after 5 tokens
    Then the engines' stream ends with stage_lost "e2" within 1000 ms
    And stand-in engine "e1" holds no stream

  Scenario: a caller that goes away frees every stage
    Given a pipeline of 3 stand-in engine processes with 24 layers
    When the prompt "anneal [tokens=4000]" is sent along the engines and dropped after 5 tokens
    Then stand-in engine "e0" holds no stream
    And stand-in engine "e2" holds no stream

  Scenario: full slots refuse and run nothing
    Given a pipeline of 3 stand-in engine processes with 24 layers
    And stand-in engine e1 has the fault "busy"
    When the prompt "anneal [tokens=40]" is sent along the engines
    Then the engines refuse with 429 and busy "e1"
    And the engines' journals show no token run

  Scenario: an engine in a shared process crashes on a marked prompt and comes back
    Given a pipeline of 3 stand-in engines in one process with 24 layers
    And stand-in engine e1 crashes on the mark "POISON"
    When the prompt "POISON [tokens=40]" is sent along the engines
    Then the engines' stream ends with stage_lost "e1" within 1000 ms
    When stand-in engine e1 is restarted
    And the prompt "anneal [tokens=40]" is sent along the engines
    Then the engines' text is the reference text of 40 tokens

  Scenario: a resumed stream goes on from the given token
    Given a pipeline of 3 stand-in engine processes with 24 layers
    When the prompt "anneal [tokens=40]" is resumed along the engines after 25 reference tokens
    Then the engines' text is the reference text from token 25 to 40

  Scenario Outline: an old fencing number
    Given a stand-in engine whose honours_fencing is <honours>
    When it is ordered to version "2" with number 7 and then to version "1" with number 6
    Then the second order's status is <status>
    And the stand-in engine comes to hold version "<version>"

    Examples:
      | honours | status | version |
      | true    | 409    | 2       |
      | false   | 200    | 1       |

  Scenario: a plain service journals each run and loses a reply after the effect
    Given a stand-in plain service
    When it is called, called with its reply lost, and called while it refuses
    Then its journal shows 2 runs with their keys and 1 refusal

  Scenario: an engine that was idle takes a whole step for each token
    Given a batch of one job a step, each of 40 ms, that has been idle for 1000 ms
    When 4 jobs come one after the other
    Then each takes 40 ms
