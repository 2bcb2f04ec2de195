Feature: quarantine
  A poison request, one that crashes every backend server that runs it, crashes at most two of them,
  even if it is sent again through other hosts, and does not affect other requests. Here a marked
  prompt crashes every engine, a stand-in for a backend server, that runs it. Each engine serves a
  range of the layers of a model, and a stream runs on one engine of each range.

  Scenario: a poison request is sent through each entry host in turn, concurrently with other streams
    Given 4 engines for each of 2 ranges that crash on a marked prompt, and 3 entry hosts
    When 60 unmarked streams run and the marked prompt is sent 6 times, each time through the next host
    Then at most 2 engines crashed
    And every unmarked stream is complete and none of them is convicted
    And the last 5 requests with the marked prompt were refused as quarantined

  Scenario: the caller of a poison request disconnects and sends it again through another host
    Given 4 engines for each of 2 ranges that crash on a marked prompt, and 3 entry hosts
    When 30 unmarked streams run and the caller of the marked prompt disconnects at each crash and sends it again 100 ms later
    Then at most 2 engines crashed
    And every unmarked stream is complete and none of them is convicted
    And the last request with the marked prompt was refused as quarantined

  Scenario: the caller of a poison request sends it again through another host at the time of the crash
    Given 4 engines for each of 2 ranges that crash on a marked prompt, and 3 entry hosts
    When 30 unmarked streams run and the caller of the marked prompt disconnects at each crash and sends it again 0 ms later
    Then at most 2 engines crashed
    And every unmarked stream is complete and none of them is convicted
    And the last request with the marked prompt was refused as quarantined

  Scenario: a poison request is sent through all entry hosts while one of them runs it in a trial
    Given 4 engines for each of 2 ranges that crash on a marked prompt, and 3 entry hosts
    When the marked prompt is sent, and sent through all hosts at once after the first crash
    Then at most 2 engines crashed
    And all requests with the marked prompt were refused as quarantined

  Scenario: two poison requests at once
    Given 6 engines for each of 2 ranges that crash on a marked prompt, and 3 entry hosts
    When 30 unmarked streams run and two marked prompts are sent through two hosts
    Then at most 4 engines crashed
    And every unmarked stream is complete and none of them is convicted
    And the marked prompts were refused as quarantined

  Scenario: partitioned hosts share entries through the key-value service
    Given 4 engines for each of 2 ranges that crash on a marked prompt, and 3 entry hosts that are partitioned from each other
    When 30 unmarked streams run and the marked prompt is sent 3 times, each time through the next host
    Then at most 2 engines crashed
    And every unmarked stream is complete and none of them is convicted

  Scenario: the key-value service is down
    Given 4 engines for each of 2 ranges that crash on a marked prompt, and 3 entry hosts
    And the key-value service of the quarantine is stopped
    When 30 unmarked streams run and the marked prompt is sent 3 times, each time through the next host
    Then at most 2 engines crashed
    And every unmarked stream is complete and none of them is convicted

  Scenario: a host that starts later knows the conviction
    Given 4 engines for each of 2 ranges that crash on a marked prompt, and 3 entry hosts
    When the marked prompt is sent, and then sent through a host that starts later
    Then at most 2 engines crashed
    And all requests with the marked prompt were refused as quarantined

  Scenario: a request shares one of two crashes with a stream that had been running for longer
    Given a request that had just started at two crashes, and one that had been running for longer at the first of them
    Then the first is not convicted, and waits for the trial of the other one
    And the first is convicted once the other one has run without a crash
    And the other one does not wait for the first

  Scenario: entries merge to the same result in any order
    When quarantine entries are merged in any order and grouping
    Then they always result in the same entry
