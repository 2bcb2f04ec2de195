Feature: admission
  Workspaces get their shares, requests that can't meet their deadline are refused immediately, and
  retries are bounded.

  Scenario: backlogged workspaces are served by weight
    When 100 random backlogs of weighted workspaces are served
    Then no two backlogged workspaces differ by more than one entry each in service over weight
    And every entry is served once, in its workspace's order

  Scenario: one workspace can't fill the queue
    Given a fair queue with a capacity of 100
    When one workspace sends 1000 entries and then 5 others send 3 each
    Then the first workspace has 50 queued entries and each of the others has its 3
    And the others' entries are among the next 20 served

  Scenario: cancelled and expired entries are never served or charged
    When 100 random queues lose entries by cancellation and by deadline
    Then only the live entries are served and the sums end at zero

  Scenario: shares of a rate never add up to more than the rate
    When 100 random demands are reported among 2 to 8 hosts
    Then the shares of each workspace add up to its rate
    And a partitioned host and its peers keep their last shares

  Scenario: a token bucket enforces its share
    When a single host gets 50 requests per second for 20 s with a rate of 10
    Then it admits 200 requests, give or take 11
    And a request after the retry delay of a refusal is admitted

  Scenario: retries stay within their budget
    When 5000 random successes and retries are recorded with a ratio of 0.1
    Then no window has more retries than the budget allows

  Scenario Outline: a concurrency limit settles near the concurrency at which latency starts to rise
    When a backend server that serves 16 calls at once without delay has <noise> percent noise
    Then the limit stays at 28 or less once settled, with 97 percent of the full rate
    And it stays within 10 slots if there are no more

    Examples:
      | noise |
      | 2     |
      | 10    |
      | 30    |

  Scenario: a request whose deadline can't be met is refused immediately
    Given an admission with 2 slots and requests that take 50 ms each
    When 200 requests with 400 ms until their deadline arrive within 1 s
    Then every refusal for an unreachable deadline came within 20 ms with a retry delay
    And at most 2 percent of the queued requests missed their deadline

  Scenario: a sustained overload keeps a short queue, so a falling drain rate makes no request late
    Given an admission with 10 slots and requests that take 50 ms each
    When 600 requests per second with 1000 ms until their deadline arrive for 5 s, and take 150 ms from the 3rd on
    Then 99 percent of the refusals came within 20 ms with a retry delay
    And at least 90 percent of the slots' time was used

  Scenario: a short burst is queued and served
    Given an admission with 10 slots and requests that take 50 ms each
    When 80 requests with 1000 ms until their deadline arrive within 50 ms
    Then all of them were served

  # Guards against refusing a workspace because other workspaces fill the queue.
  Scenario: the capacity of a full queue is shared equally
    Given an admission with 1 slots and requests that take 5 ms each
    When one workspace sends 20 requests at once and then 5 others send 4 each, with a queue of 12
    Then 2 requests of each of the others were served, and 13 in all
    And those that were refused are told that the queue is full

  Scenario: no permit is lost when callers disconnect
    Given an admission with 3 slots and requests that take 5 ms each
    When 300 callers arrive and a third of them disconnect at random times
    And one more disconnects at the moment its grant arrives
    Then all slots are free again and no caller is queued

  Scenario: running sums and a full recount agree on shares
    When requests of 6 workspaces start and end in 200 random orders over up to 100 s
    Then each share decision matches a full recount

  Scenario: concurrent requests of a workspace that rarely sends any are all prioritised
    Given an admission with 4 slots, 4 more for workspaces below their share, and an overload by one workspace for 10 s
    When a quiet workspace sends 4 requests at once
    Then all start immediately and below their share
    And the overloading workspace's next request is still queued

  Scenario: a briefly empty queue under overload does not lead to a slow route
    Given an admission with 4 slots, 4 more for workspaces below their share, and an overload by one workspace for 10 s
    When the queue is empty for a moment and a quiet workspace sends a request
    Then it requested and got only a slot for workspaces below their share

  Scenario: a refusal for a missed deadline has a retry delay
    When a generation is refused as its deadline passed
    Then the refusal has a retry delay
