Feature: faulty answers
  A client gets only what belongs to its request. An answer that another request's copy, an error
  or a cut head has spoiled is never passed on as if it were whole or as if nothing had run.

  # Guards against a promise "not run" that rests on the refusal of an earlier request.
  Scenario: a gateway takes no refusal of another request for one of its own
    Given a gateway before raw replicas
    When each of these requests gets an answer from the first replica that reads it, and the next one is sound
      | request             | first answer               |
      | /note/              | 503 of another request     |
      | /note/              | 421 of another request     |
      | /note/              | 429 of another request     |
      | /note/              | 400 of another request     |
      | /note/              | 503 ahead of the request   |
      | /once/              | 503 of another request     |
      | /once/              | 421 of another request     |
    Then each is answered 502 and was sent once
    When each of these requests gets an answer from the first replica that reads it, and the next one is sound
      | request             | first answer               |
      | /read/              | 503 of another request     |
      | /lm/                | 503 of another request     |
      | /lm/                | 421 of another request     |
      | /note/              | own 503                    |
      | /note/              | own 421                    |
      | /note/              | 503 without an id          |
      | /once/              | own 503                    |
    Then each is answered 200 in full and was sent twice
