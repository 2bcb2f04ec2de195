Feature: silent engines
  Engines and replicas of plain services that give nothing for a while and then go on, behind an entry
  host. What they would have finished in time reaches its caller whole, whatever the host does
  meanwhile.

  # Guards against streams that end although their engines would have finished them: an attempt was
  # ended for silence before it was known that the work can go on elsewhere (issue 28).
  Scenario Outline: <streams> streams are whole after <pauses> pauses of all engines of <pause_ms> ms, <when> a planned stop
    Given an entry host before two engines for each of two ranges, and two replicas of a service
    When <streams> callers stream 60 tokens <when> a planned stop, and all engines pause <pauses> times for <pause_ms> ms
    Then each caller got the complete text of their own prompt

    Examples:
      | streams | pauses | pause_ms | when    |
      | 8       | 2      | 900      | without |
      | 8       | 1      | 3600     | during  |
      | 60      | 1      | 900      | during  |
      | 60      | 1      | 1600     | during  |
      | 60      | 2      | 2200     | without |
      | 60      | 1      | 2500     | without |

  # Guards against a refusal of work that may not be sent again, though its engines would have finished it.
  Scenario: streams that must not be repeated are whole after a pause of all engines
    Given 2 engine processes for each of 2 ranges of 24 layers with a step of 10 ms
    When 8 streams of 100 to 120 tokens that must not be repeated run and all engines pause for 2500 ms once 8 of them have begun
    Then each stream is complete and has the text for its own prompt
    And each stream had 1 attempt

  # Guards against calls that fail at sound replicas: each replica got a part of the time left and was
  # given up after it, until there was no other one.
  Scenario Outline: repeatable calls do not fail after a pause of their replicas of 900 ms, <when> a planned stop
    Given an entry host before two engines for each of two ranges, and two replicas of a service
    When 16 callers read through the entry host <when> a planned stop, and all replicas pause for 900 ms
    Then each call is answered by a replica or refused as not run

    Examples:
      | when    |
      | during  |
      | without |

  # Guards against strikes for pauses: a replica that can't be connected to in time counted as crashed,
  # so that three pauses could put a harmless call in quarantine.
  Scenario: a replica that takes no connection for a while has not crashed
    Given a replica of a plain service whose queue of connections is full
    When the reply of a call to it is lost
    Then no crash is recorded for the call
