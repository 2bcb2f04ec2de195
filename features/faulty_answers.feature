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

  # Guards against error texts inside a begun stream, and against ends that look like the last piece.
  Scenario: a gateway adds no error answer to a stream that has begun
    Given a gateway before raw replicas
    When streams begin with 2 of 5 events, break off, and each further replica answers
      | next answer                  |
      | own 500                      |
      | own 404                      |
      | own 503                      |
      | 503 of another request       |
      | unsigned 502                 |
      | 200 with a text              |
      | 200 with a text and a gap    |
      | 200 with a body of no bytes  |
      | 204                          |
      | half a head                  |
    Then each client has events 1 and 2, nothing else, and sees the stream break off
    When streams begin with 5 of 5 events, break off, and each further replica answers
      | next answer                  |
      | no further event             |
    Then each client has events 1 to 5 and sees the stream end

  # Guards against an exception, or a lost event, where the id of an event is no number.
  Scenario: a stream goes on elsewhere after an event whose id does not follow
    Given a gateway before raw replicas
    When streams have 2 of 5 events and then one with each of these ids, and the next replica is sound
      | id                    |
      | a superscript two     |
      | 5,000 digits          |
      | a word                |
      | the fifth number      |
    Then each is answered 200 in full and was sent twice

  # Guards against a 2xx made of an answer whose head or body is not whole.
  Scenario: a gateway passes on no answer that was cut
    Given a gateway before raw replicas
    When every replica cuts its answers to each of these requests
      | request | cut                             |
      | /note/  | in the status                   |
      | /note/  | after the status line           |
      | /note/  | in a header's name              |
      | /note/  | in the length                   |
      | /note/  | before the blank line           |
      | /note/  | in the blank line               |
      | /note/  | after the head                  |
      | /note/  | in the body                     |
      | /note/  | before the last chunk           |
      | /note/  | in the last chunk               |
      | /note/  | by a reset without a length     |
      | /note/  | after an interim head           |
      | /note/  | in the head after an interim one|
      | /note/  | with 204 and a body             |
      | /read/  | after the status line           |
      | /read/  | in the length                   |
      | /read/  | before the blank line           |
      | /read/  | before the last chunk           |
      | /read/  | by a reset without a length     |
      | /once/  | after the status line           |
      | /once/  | in the length                   |
      | /once/  | before the blank line           |
      | /once/  | after an interim head           |
      | /lm/    | after the status line           |
      | /lm/    | before the blank line           |
      | /lm/    | after an interim head           |
    Then each is answered 502

  # Guards against a status of 000, or a line that is no header field, that reaches a client as an answer.
  Scenario: a gateway passes on no answer that is not valid HTTP
    Given a gateway before raw replicas
    When every replica gives each of these odd answers to these requests
      | requests                  | odd answer                            |
      | /note/ /read/ /once/ /lm/ | status 000                            |
      | /note/ /read/ /once/ /lm/ | status 000 ahead of a sound answer    |
      | /note/ /read/             | status 001                            |
      | /note/ /lm/               | status 099                            |
      | /note/ /read/ /lm/        | status 101 ahead of a sound answer    |
      | /note/ /read/ /once/ /lm/ | status 600                            |
      | /note/ /lm/               | status 999                            |
      | /note/ /read/ /once/ /lm/ | a blank in a name                     |
      | /note/ /lm/               | a blank before a colon                |
      | /note/ /read/ /lm/        | 0x01 in a name                        |
      | /note/                    | 0x0b in a name                        |
      | /note/                    | CR in a name                          |
      | /note/                    | an empty name                         |
      | /note/ /lm/               | a blank ahead of a name               |
      | /note/ /lm/               | NUL in a value                        |
      | /note/ /lm/               | a blank in a name of an interim head  |
      | /note/ /lm/               | a blank before the length's colon     |
      | /note/ /lm/               | a blank before the coding's colon     |
      | /note/ /read/             | a blank in a trailer's name           |
    Then each is answered 502
    When the first replica gives each of these odd answers, and the next one is sound
      | requests   | odd answer                         |
      | /note/     | status 000                         |
      | /once/     | status 000 ahead of a sound answer |
      | /note/     | a blank in a name                  |
      | /once/     | 0x01 in a name                     |
    Then each is answered 502 and was sent once
    When the first replica gives each of these odd answers, and the next one is sound
      | requests   | odd answer                         |
      | /read/ /lm/ | status 000                         |
      | /read/ /lm/ | status 000 ahead of a sound answer |
      | /read/ /lm/ | status 600                         |
      | /read/ /lm/ | a blank in a name                  |
      | /read/ /lm/ | 0x01 in a name                     |
    Then each is answered 200 in full and was sent twice

  # Guards against beliefs about replicas and the store that rest on an answer that is none.
  Scenario: no part of the product takes an answer that is not valid HTTP for one
    When each of these gets an answer with each odd status, with odd names, or with an odd length
      | caller                               |
      | a probe of a replica                 |
      | a replica's report                   |
      | an order to a replica                |
      | a move of a stream                   |
      | a read of the platform's store       |
      | a page of the platform's store       |
      | a watch on the platform's store      |
      | a write to the platform's store      |
      | a lease of the platform's store      |
      | a renewal at the platform's store    |
      | a read of the own store              |
      | a watch on the own store             |
      | a write to the own store             |
      | a lease of the own store             |
      | the host list                        |
      | a reservation at the weight store    |
      | an engine's load                     |
      | an engine's progress                 |
      | an engine's state                    |
      | an order to an engine                |
      | a cancel at an engine                |
      | an operator's question to a host     |
    Then each call failed, and a write to a store counts as one that may have been applied

  # Guards against a failure whose body is taken for what was asked.
  Scenario: an engine's load and cache events count only if the engine says that it succeeded
    When an engine gives a load and cache events with each of these statuses
      | status |
      | 201    |
      | 302    |
      | 404    |
      | 500    |
      | 503    |
    Then neither counts, and the engine does not count as crashed

  # Guards against a write that counts as not applied though nothing says so.
  Scenario: a write to the own store counts as not applied only if the store rejected it
    When writes to the own store are answered with each of these statuses
      | status | counts as            |
      | 201    | may have been applied |
      | 202    | may have been applied |
      | 302    | may have been applied |
      | 400    | not applied          |
      | 404    | not applied          |
      | 500    | may have been applied |
      | 503    | may have been applied |
    Then each counts as that

  # Guards against a promise "not run" that rests on an engine's refusal of an earlier attempt.
  Scenario: an entry host takes no refusal of another attempt for one of its own
    When an entry host sends attempt 2 of "job-1" to an engine that refuses in each of these ways
      | refused request | refused attempt | counts as      |
      | job-1           | 2               | not run        |
      | none            | 0               | not run        |
      | job-1           | 1               | may have run   |
      | job-0           | 2               | may have run   |
    Then the attempt counts as that

  # Guards against error texts that pass for tokens, and against ends that look like the last piece.
  Scenario: an entry host reads no error in an engine's stream as a piece or an end of it
    When an engine's stream has 2 tokens and then each of these
      | further bytes                |
      | a text                       |
      | a whole error answer         |
      | an error as an event         |
      | its end                      |
      | its end mark without a finish|
      | half a chunk                 |
    Then the entry host has read 2 tokens and a fault each time

  # Guards against an earlier refusal that answers the next call.
  Scenario: a service that writes each refusal once more answers no other call with it
    When an entry host calls a service that writes each answer twice, 503 to every second call
    Then each of 20 calls has its own answer and ran once

  # Guards against a status of 000, or a line that is no header field, that passes for an answer.
  Scenario: an entry host passes on no answer that is not valid HTTP
    When an entry host calls a service and an engine that give each odd answer
    Then each call failed as one that may have run, and was sent once

  # Guards against a 2xx made of an answer whose head or body is not whole.
  Scenario: an entry host passes on no answer that was cut
    When an entry host calls a service and an engine that cut their answers
      | cut                              |
      | in the status                    |
      | after the status line            |
      | in a header's name               |
      | in the length                    |
      | before the blank line            |
      | in the blank line                |
      | after the head                   |
      | in the body                      |
      | before the last chunk            |
      | in the last chunk                |
      | by a reset without a length      |
      | after an interim head            |
      | in the head after an interim one |
      | with 204 and a body              |
    Then each call failed as one that may have run, and was sent once
