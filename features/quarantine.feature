Feature: quarantine
  A request that crashes each backend server that runs it costs the site two of them, whoever sends it
  again, and nobody else suffers for it.

  Scenario: a poison request is sent again through each entry host, with innocents beside it
    Given 4 engines for each of 2 ranges that crash on a marked prompt, and 3 entry hosts
    When 60 innocent streams run and the marked prompt is sent 6 times, each time through the next host
    Then at most 2 engines crashed
    And every innocent stream is whole and none of them is convicted
    And the marked prompt's last 5 sendings were refused as quarantined

  Scenario: the poison request's caller goes away and sends it again through another host
    Given 4 engines for each of 2 ranges that crash on a marked prompt, and 3 entry hosts
    When 30 innocent streams run and the marked prompt's caller goes away at each crash and sends it again 100 ms later
    Then at most 2 engines crashed
    And every innocent stream is whole and none of them is convicted
    And the marked prompt's last sending was refused as quarantined

  Scenario: the poison request's caller sends it again through another host at the crash itself
    Given 4 engines for each of 2 ranges that crash on a marked prompt, and 3 entry hosts
    When 30 innocent streams run and the marked prompt's caller goes away at each crash and sends it again 0 ms later
    Then at most 2 engines crashed
    And every innocent stream is whole and none of them is convicted
    And the marked prompt's last sending was refused as quarantined

  Scenario: the same poison request through all entry hosts while one of them tries it
    Given 4 engines for each of 2 ranges that crash on a marked prompt, and 3 entry hosts
    When the marked prompt is sent, and sent through all hosts at once after the first crash
    Then at most 2 engines crashed
    And the marked prompt's sendings were all refused as quarantined

  Scenario: two poison requests at once
    Given 6 engines for each of 2 ranges that crash on a marked prompt, and 3 entry hosts
    When 30 innocent streams run and two marked prompts are sent through two hosts
    Then at most 4 engines crashed
    And every innocent stream is whole and none of them is convicted
    And the marked prompts were refused as quarantined

  Scenario: hosts that can't reach each other share by the key-value service
    Given 4 engines for each of 2 ranges that crash on a marked prompt, and 3 entry hosts cut off from each other
    When 30 innocent streams run and the marked prompt is sent 3 times, each time through the next host
    Then at most 2 engines crashed
    And every innocent stream is whole and none of them is convicted

  Scenario: the key-value service is down
    Given 4 engines for each of 2 ranges that crash on a marked prompt, and 3 entry hosts
    And the quarantine's key-value service is stopped
    When 30 innocent streams run and the marked prompt is sent 3 times, each time through the next host
    Then at most 2 engines crashed
    And every innocent stream is whole and none of them is convicted

  Scenario: a host that starts later knows the conviction
    Given 4 engines for each of 2 ranges that crash on a marked prompt, and 3 entry hosts
    When the marked prompt is sent, and then sent through a host that starts later
    Then at most 2 engines crashed
    And the marked prompt's sendings were all refused as quarantined

  Scenario: a request that had only begun at two crashes, one of them shared with a stream that had run on
    Given a request that had only begun at two crashes, and one that had run on at the first of them
    Then the first is not convicted, and lets the other one be tried before it
    And it is convicted once the other one has run well
    And the other one does not wait for it

  Scenario: entries merge into the same whatever their order
    When quarantine entries are merged in any order and grouping
    Then they always come to the same entry
