Feature: streams
  Every caller gets the complete text for its own prompt, each token once, although stages crash,
  connections go silent and engines send wrong responses.

  Scenario: a stage is killed under 200 streams at once
    Given 2 engine processes for each of 3 ranges of 24 layers with a step of 40 ms
    When 200 streams of 30 to 40 tokens run and engine "e1a" is killed once 190 of them have begun
    Then each stream is complete and has the text for its own prompt
    And no stream waited longer than 1000 ms for its next token after the kill
    And the journals show that each stage ran only its own layers
    And nine in ten resumed streams kept their surviving stages and their KV caches

  Scenario: a stage is killed while most of 200 streams still open
    Given 2 engine processes for each of 3 ranges of 24 layers with a step of 20 ms
    When 200 streams of 40 to 60 tokens run and engine "e1a" is killed once 60 of them have begun
    Then each stream is complete and has the text for its own prompt
    And no stream waited longer than 1000 ms for its next token after the kill
    And the journals show that each stage ran only its own layers

  Scenario: the head of the path is killed
    Given 2 engine processes for each of 3 ranges of 24 layers with a step of 10 ms
    When 30 streams of 60 to 80 tokens run and engine "e0a" is killed once 20 of them have begun
    Then each stream is complete and has the text for its own prompt
    And no stream waited longer than 1000 ms for its next token after the kill

  Scenario: established connections go silent while new ones work
    Given 2 engines in one process for each of 3 ranges of 24 layers with a step of 10 ms
    When 12 streams of 150 to 170 tokens run and all connections to the heads go silent once 12 of them have begun
    Then each stream is complete and has the text for its own prompt
    And no stream waited longer than 2000 ms for its next token after the silence
    And each stream resumed at the same head
    And the silent attempts were cancelled at their heads

  Scenario: a stage is frozen
    Given 2 engine processes for each of 3 ranges of 24 layers with a step of 10 ms
    When 12 streams of 60 to 80 tokens run and engine "e1a" is frozen once 12 of them have begun
    Then each stream is complete and has the text for its own prompt
    And no stream waited longer than 2000 ms for its next token after the freeze

  Scenario: an engine that is slower than the chunk timeout is not treated as failed
    Given 1 engines in one process for each of 3 ranges of 24 layers with a step of 700 ms
    When 3 streams of 4 to 5 tokens run
    Then each stream is complete and has the text for its own prompt
    And each stream had 1 attempt

  Scenario Outline: an engine sends a wrong response
    Given 2 engines in one process for each of 3 ranges of 24 layers with a step of 5 ms
    And the engine "<engine>" gives the wrong answer "<fault>" from token 7
    When 20 streams of 30 to 40 tokens run
    Then each stream is complete and has the text for its own prompt
    And some stream had a wrong answer

    Examples:
      | engine | fault            |
      | e1a    | doubled_layer    |
      | e2b    | skipped_layer    |
      | e0a    | crossed_request  |
      | e0b    | reordered_tokens |
      | e0a    | duplicated_token |
      | e0a    | truncated        |
      | e0b    | no_finish        |

  Scenario: the KV cache is imported from the engine that had it
    Given 2 engines in one process for each of 3 ranges of 24 layers with a step of 5 ms
    And the engine "e0a" gives the wrong answer "truncated" from token 20
    When 10 streams of 30 to 40 tokens run
    Then each stream is complete and has the text for its own prompt
    And engine "e0b" imported the KV cache of every stream that it took over

  Scenario: a generation that must not be repeated is not resumed
    Given 2 engine processes for each of 3 ranges of 24 layers with a step of 10 ms
    When 8 streams of 300 to 320 tokens that must not be repeated run and engine "e0a" is killed once 8 of them have begun
    Then each stream is complete, or is refused with may_have_run
    And some stream was refused
    And each stream had 1 attempt
