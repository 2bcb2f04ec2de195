Feature: queue for paths
  Streams of a gateway wait for capacity by priority and fairly by workspace; a stream that cannot
  be served in time is refused at once.

  Scenario: one workspace sends ten times its share, and all together three times the capacity
    Given capacity for 20 streams of the usual size, each of which runs for 200 ms
    When "lab" and "desk" send 12 streams a second each and "bulk" 276 a second for 4 s
    Then no stream of "lab" and "desk" is refused, and 95 in 100 of them wait for at most 250 ms
    And 99 in 100 refusals come within 50 ms
    And at least 90 in 100 of the capacity was used

  # Guards against refusing streams of lightly loaded workspaces when much capacity becomes free at
  # once after a pause of the host.
  Scenario Outline: one workspace sends ten times its share while the host is paused for <still_ms> ms
    Given capacity for 20 streams of the usual size, each of which runs for 200 ms
    When the host is paused for <still_ms> ms each second
    And "lab" and "desk" send 12 streams a second each and "bulk" 276 a second for 4 s
    Then no stream of "lab" and "desk" is refused, and 95 in 100 of them wait for at most <most_ms> ms
    And 99 in 100 refusals come within 50 ms

    Examples:
      | still_ms | most_ms |
      | 200      | 450     |
      | 350      | 600     |

  Scenario: one huge stream arrives before many small ones
    Given capacity for 20 streams of the usual size, each of which runs for 200 ms
    When a stream of 15 times the usual size arrives, then 60 small ones a second for 2 s
    Then small ones overtake it, and it gets its path within 1000 ms
    And at most 10 in 100 of the small ones are refused

  Scenario: a client that retries immediately takes no capacity from others
    Given capacity for 20 streams of the usual size, each of which runs for 200 ms
    When "bulk" sends 300 streams a second for 3 s, retrying each at once after a refusal, and "lab" 10 a second
    Then no stream of "lab" is refused, and 95 in 100 of them wait for at most 250 ms

  Scenario: streams of higher priority go first
    Given capacity for 20 streams of the usual size, all of it in use for 300 ms
    When 10 streams of rank 5 wait and then 10 of rank 1
    Then those of rank 1 get their paths first

  Scenario: cancelled streams release their capacity
    Given capacity for 20 streams of the usual size, each of which runs for 5 ms
    When 300 streams arrive and a third of them are cancelled at random times
    Then all capacity is free again and the queue is empty

  Scenario: after a cancelled entry the next one of its workspace is first in line
    When first entries of 200 random queues are cancelled, and the next entry of each workspace is read
    Then the next entry is always the first live one of each workspace
