Feature: admission
  Workspaces get their shares, what can't be served in time is refused at once, and retries are bounded.

  Scenario: backlogged workspaces are served by weight
    When 100 random backlogs of weighted workspaces are served
    Then no two backlogged workspaces differ by more than one entry each in service over weight
    And every entry is served once, in its workspace's order

  Scenario: a flood leaves places for the others
    Given a fair queue with 100 places
    When one workspace sends 1000 entries and then 5 others send 3 each
    Then the flood holds 50 places and each of the others has its 3
    And the others' entries are among the next 20 served

  Scenario: cancelled and late entries are never served or charged
    When 100 random queues lose entries by cancelling and by deadline
    Then just the live entries are served and the sums end at nothing

  Scenario: shares of a rate never add up to more than the rate
    When 100 random demands are reported among 2 to 8 hosts
    Then the shares of each workspace add up to its rate
    And a host that is cut off and its peers keep their last shares

  Scenario: a bucket holds to its share
    When a host alone is asked 50 times a second for 20 s under a rate of 10 a second
    Then it lets through 200 requests within 11 of it
    And each refusal's time to come back is true

  Scenario: retries keep to their budget
    When 5000 random successes and retries go by with a ratio of 0.1
    Then no window has more retries than the budget allows

  Scenario Outline: a concurrency limit finds the knee of its backend server
    When a backend server that does 16 at once without delay is driven with <noise> in 100 of noise
    Then the limit stays at 28 or less once settled, with 97 in 100 of the full rate
    And it stays within 10 slots when there are no more

    Examples:
      | noise |
      | 2     |
      | 10    |
      | 30    |

  Scenario: a deadline that can't be met is refused at once
    Given an admission for 2 requests at once that take 50 ms each
    When 200 requests of 400 ms patience arrive within 1 s
    Then every refusal for want of time came within 20 ms with a time to come back
    And at most 2 in 100 of those that waited were too late

  Scenario: a lasting overload keeps a short queue, so a pace that falls makes nobody late
    Given an admission for 10 requests at once that take 50 ms each
    When 600 requests a second of 1000 ms patience arrive for 5 s, and take 150 ms from the 3rd on
    Then 99 in 100 refusals came within 20 ms with a time to come back
    And at least 90 in 100 of what the places can do was served

  Scenario: a short burst waits for its turn
    Given an admission for 10 requests at once that take 50 ms each
    When 80 requests of 1000 ms patience arrive within 50 ms
    Then all of them were served

  # Guards against workspaces that are refused as others have all the places in the queue.
  Scenario: the places of a full queue are shared equally
    Given an admission for 1 requests at once that take 5 ms each
    When one workspace sends 20 requests at once and then 5 others send 4 each, with 12 places to wait
    Then 2 requests of each of the others were served, and 13 in all
    And those that were refused are told that the queue is full

  Scenario: no permit is lost when callers go away
    Given an admission for 3 requests at once that take 5 ms each
    When 300 callers arrive and a third of them go away at random moments
    And one more goes away in the moment in which its grant comes
    Then the room is whole again and nobody waits

  Scenario: running sums say the same of shares as a count of everything
    When requests of 6 workspaces start and end in 200 random orders over up to 100 s
    Then each answer about a share is that of a count of everything

  Scenario: requests at once of a workspace that mostly sends none all go first
    Given an admission with 4 places, 4 more for workspaces below their share, and a flood that has filled it for 10 s
    When a quiet workspace sends 4 requests at once
    Then all start at once and below their share
    And the flood's own next request still waits

  Scenario: under a flood room that happens to be free is no reason to take a slow route
    Given an admission with 4 places, 4 more for workspaces below their share, and a flood that has filled it for 10 s
    When the flood's queue is empty for a moment and a quiet workspace sends a request
    Then it was asked for among the places for workspaces below their share

  Scenario: a refusal for want of time says when to come back
    When a generation is refused as its deadline passed
    Then the refusal has a time to come back
