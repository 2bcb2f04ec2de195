Feature: crash entries are shared at a cost that large sites can bear

  Each host of a virtual site has its own crash record. Values that a host publishes reach the others
  after a few milliseconds. No network is used.

  # Guards against work that grows with streams times hosts: each stream on a crashed replica, and each
  # shared part of its prompt, has an entry. 90 streams once took 360 values, each of which every other
  # host logged. Crashes are seen within 100 ms, so a host needs three batches of 50 ms at most. Hosts
  # write one line a second on what others published.
  Scenario Outline: one crash under <streams> streams is shared in few values and lines
    Given a virtual site of <hosts> hosts
    When a replica crashes under <streams> streams that share 3 parts and whose hosts see it within 100 ms
    Then each host has published at most 3 values
    And each host has written at most 2 lines on what others published
    And no host has encoded an entry because another host published it
    And every host knows the crash of each stream and of each part
    When each of these streams completes within 10 s
    Then each host has written at most 11 lines on what others published

    Examples:
      | hosts | streams |
      | 72    | 90      |
      | 72    | 900     |
      | 9     | 900     |

  # Guards against a conviction that waits for a batch, or that only some of the hosts hear of.
  Scenario Outline: a request whose three crashes are seen by <seen_by> hosts <apart_ms> ms apart is refused at every host
    Given a virtual site of 72 hosts
    When 3 replicas crash under a request, <apart_ms> ms apart, and <seen_by> hosts see one after the other
    Then every host refuses the request <within_ms> ms after the last crash

    Examples:
      | seen_by | apart_ms | within_ms |
      | 1       | 100      | 10        |
      | 3       | 100      | 10        |
      | 3       | 0        | 65        |

  # Guards against a harmless request that stays refused: its clearing has to reach every host.
  Scenario: a refused request that completes is refused at no host
    Given a virtual site of 72 hosts
    When 3 replicas crash under a request, 100 ms apart, and 3 hosts see one after the other
    And the request completes at another host
    Then no host refuses the request 65 ms later

  # Guards against an upgrade in which hosts of the two versions don't hear each other.
  Scenario: a host that knows no batches counts crashes together with hosts that send them
    Given a virtual site of 3 hosts, the last of which knows no batches
    When 3 replicas crash under a request, 100 ms apart, and 3 hosts see one after the other
    Then every host refuses the request 65 ms after the last crash
    When the request completes at another host
    Then no host refuses the request 65 ms later

  # Guards against batches that replace each other before a partitioned host has read them, and against
  # values that pile up at every host of the site.
  Scenario: a host that was partitioned during 100 crashes learns of all of them from 16 values
    Given a virtual site of 2 hosts
    When the second host is partitioned while 100 replicas crash under one stream of the first each, 1 s apart
    And the second host reads the values of the shared state that have not expired
    Then the shared state has at most 16 values
    And every host knows the crash of each stream and of each part

  # Guards against a value that peers refuse because it is too large.
  Scenario: a crash under 4,000 streams of one host is published in values of at most 64 KB
    Given a virtual site of 2 hosts
    When a replica crashes under 4000 streams of the first host at once
    Then no published value is larger than 65536 bytes
    And every host knows the crash of each stream and of each part

  # Guards against a malformed batch that stops the host from reading the next one.
  Scenario: a malformed batch is ignored
    Given a virtual site of 2 hosts
    When the first host publishes a malformed batch
    And 3 replicas crash under a request, 100 ms apart, and 1 hosts see one after the other
    Then every host refuses the request 10 ms after the last crash
