Feature: services
  Calls to plain services: repeatable ones are retried, the others are sent once.

  Background:
    Given a ledger site with six entry hosts and three replicas of a service

  Scenario: a repeatable call is retried on another replica
    When replica 0 of the plain service is killed and its status is read 12 times through entry host 0
    Then every plain service answer is 200

  Scenario: a non-repeatable call without a key is refused
    When the plain service gets a POST to "/reservations" without a key through entry host 1
    Then the plain service answer is "idempotency_key_required" with ran "not_run"
    And the plain service ran 0 calls

  Scenario: a keyless call whose reply is lost is sent once
    When all replicas of the plain service lose their replies
    And the plain service gets a POST to "/notes" without a key through entry host 1
    Then the plain service answer is "backend_server_lost" with ran "may_have_run"
    And the plain service ran 1 call

  Scenario: a path without a configured operation is refused
    When the plain service gets a POST to "/elsewhere" without a key through entry host 1
    Then the plain service answer is "unknown_operation" with ran "not_run"
    And the plain service ran 0 calls

  # Guards against calls that crash one replica after another, once for every retry of each request.
  Scenario Outline: a repeatable call that crashes the replicas of its service <how> is refused after three crashes
    When a status read that crashes its replica <how> is sent 6 times, each time through the next entry host
    Then at most 3 replicas ran it, and its last answer is "quarantined"
    And a status read that crashes nothing is served

    Examples:
      | how           |
      | with a reset  |
      | into silence  |

  # Guards against calls to replicas that asked for a pause with Retry-After.
  Scenario: replicas that reject calls for 5 s get at most two in that time
    When all replicas of the plain service reject calls for 5 s, and its status is read 30 times
    Then each replica rejected at most two calls
    And the later reads were refused with a retry delay of at most 5 s

  # Guards against calls that are cut without an answer as the time of a planned stop is over, among them calls that may
  # not be repeated.
  Scenario: a call that no replica has answered by the end of its host's stop is answered
    Given entry host 1 has 3 s to stop
    When all replicas are silent, and a POST to "/notes" is sent through entry host 1, which is stopped 0.3 s later
    Then the plain service answer is "backend_server_lost" with ran "may_have_run"
    And it came at most 4 s after the stop began
