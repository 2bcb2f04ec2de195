Feature: leaving
  No host gives new work to a leaving backend server, and a host that shuts down interrupts no work.

  Scenario: a leaving signal applies to its boot permanently
    Given two hosts that exchange leaving signals
    Then over 300 random orders of reports, refusals, list readings and notices no leaving boot gets work
    And a new boot of a backend server that had left gets work immediately

  Scenario: a lagging host list does not block a new boot permanently
    Given two hosts that exchange leaving signals
    When a backend server is replaced while the host list still shows its old boot as leaving
    Then it gets no work while the list shows it as leaving and for up to 30 s after
    And both hosts give it work after that

  Scenario: a malformed leaving notice is ignored
    Given two hosts that exchange leaving signals
    Then random bytes as a notice raise no error and block no server

  Scenario: two of six entry hosts are shut down under load and no work is interrupted
    Given six entry hosts under steady load behind a load balancer with readiness checks
    And 36 long streams accepted by all hosts
    When entry hosts 1 and 4 get SIGTERM, and a second one when the first has taken effect
    Then both report not ready and close connections after each answer
    And both exit with code 0 after their long streams have ended
    And every stream and call under load was complete and none was refused
    And each reservation ran once and got an answer

  Scenario: a leaving server gets no new work 3 s after a single host saw the signal
    Given six entry hosts, of which only host 0 reads a host list that does not lag by 10 s
    And steady load on all hosts
    When the engine "eng-a0" is marked as leaving in both host lists
    Then the last new work at "eng-a0" started at most 3 s later while the load continued
    And the operator status of host 5 lists all six hosts as alive and "eng-a0" as leaving
    And every stream and call under load was complete and none was refused

  Scenario: a slow reader gets the last bytes of an answer
    Given a server that has finished an answer of 8 MB to a caller
    When it is closed before the caller has read
    Then the caller reads the complete answer
