Feature: leaving
  A backend server that leaves gets no new work anywhere, and a host that is stopped cuts none.

  Scenario: a sign of leaving holds for its boot, whatever comes after it
    Given two hosts that tell each other their signs of leaving
    Then over 300 drawn orders of reports, refusals, list readings and words no leaving boot gets work
    And a new boot of a backend server that had left gets work at once

  Scenario: a host list that lags does not keep work from a new boot for good
    Given two hosts that tell each other their signs of leaving
    When a backend server is replaced while the host list still shows its old boot as leaving
    Then it gets no work while the list says so and for up to 30 s after
    And it gets work then, at both hosts

  Scenario: a malformed word about leaving harms nothing
    Given two hosts that tell each other their signs of leaving
    Then random bytes as a word raise nothing and block nothing

  Scenario: two of six entry hosts are stopped under load and nothing is cut
    Given six entry hosts under steady load behind a balancer that asks each for its readiness
    And 36 long streams that were accepted by all hosts
    When entry hosts 1 and 4 get SIGTERM, and once more when that has taken effect
    Then both say that they are not ready and end their connections with each answer
    And both exit with code 0, and not before their long streams have ended
    And every stream and every call under load came whole and none was refused
    And each reservation ran once and was answered

  Scenario: what leaves is given no new work 3 s after one host alone saw the sign
    Given six entry hosts, of which only host 0 reads a host list that does not lag by 10 s
    And steady load over all of them
    When both host lists are told that the engine "eng-a0" is leaving
    Then the last new work at "eng-a0" started at most 3 s later, though the load went on
    And the operators' status of host 5 names all six hosts as alive and "eng-a0" as leaving
    And every stream and every call under load came whole and none was refused

  Scenario: the last bytes of an answer reach a caller that reads slowly
    Given a callers' server that has finished an answer of 8 MB
    When it is closed while the caller has not read yet
    Then the caller reads the answer whole
