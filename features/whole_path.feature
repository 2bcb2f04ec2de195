Feature: end-to-end request path
  Callers, entry hosts, engines and a plain service as separate processes.

  Background:
    Given a small site with three entry hosts

  Scenario: a streamed chat completion runs every layer once
    When a chat completion of 24 tokens is streamed through entry host 0
    Then the streamed text is the fault-free text of 24 tokens
    And the engines' journals show each layer run once for each of 24 tokens
    And the trace at entry host 0 has a span for each hop

  Scenario: a non-streamed completion has its text and its token counts
    When a non-streamed completion of 12 tokens is requested through entry host 1
    Then the complete text is the fault-free text of 12 tokens, with usage

  Scenario: an unmodified OpenAI client works
    When an OpenAI client lists the models and requests 16 tokens non-streamed and streamed
    Then both texts are the fault-free text of 16 tokens

  Scenario: two hundred concurrent callers each get their own answer
    When 200 callers stream 8 tokens each through all entry hosts
    Then each caller's text is the fault-free text of its own prompt

  Scenario: a reservation sent twice runs once
    When a reservation is sent twice under one key through entry hosts 0 and 2
    Then both answers are the same and the service ran it once

  Scenario: a completion sent twice under one key runs once
    When a completion of 10 tokens is sent under one key through entry hosts 0 and 1
    Then both texts are the same, and one request ran on the engines

  Scenario: SIGTERM ends an entry host with code 0
    When entry host 1 gets SIGTERM
    Then entry host 1 exits with code 0
