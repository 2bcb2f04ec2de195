Feature: crowds of clients without limits
  Uncontrolled clients hold memory and connections. The process lives, keeps within its memory and
  still answers. The bounds follow from the settings: 0.75 of `memory_mb` for the resident memory,
  `max_fds` for the descriptors.

  # Guards against bodies that fill the gateway's memory until the platform ends it.
  Scenario Outline: a crowd of bodies leaves a gateway within its memory
    Given a gateway with memory_mb 128 and max_fds 512
    When <count> clients send it <form> and stay connected
    Then its memory stayed under 96 MB, and its descriptors within 512
    And it answered one ordinary request while they were connected

    Examples:
      | count | form                                                         |
      | 60    | chunks of 1 MB that stop just short of 4 MB                  |
      | 60    | chunks of 16 KB that stop just short of 4 MB                 |
      | 60    | an announced body that stops just short of 4 MB              |
      | 40    | chunks of 2 bytes that stop just short of 200 KB             |
      | 30    | chunks of 1 MB up to 32 MB                                   |
      | 30    | an announced body of 32 MB                                   |
      | 40    | a whole announced body of 4 MB                               |
      | 40    | a whole body of 4 MB in chunks of 64 KB                      |
      | 200   | a header that stops just short of 16 KB                      |
      | 60    | answers of 4 MB that nobody reads                            |

  # Guards against connections that use up the descriptors which replicas, peers and the store need.
  Scenario Outline: a crowd of connections leaves a gateway within its descriptors
    Given a gateway with memory_mb 128 and max_fds 256
    When 400 clients send it <form> and stay connected
    Then its memory stayed under 96 MB, and its descriptors within 256
    And it answered one ordinary request while they were connected

    Examples:
      | form                             |
      | nothing                          |
      | the first byte of a body         |

  # Guards against peers and checks of readiness, whose addresses clients may reach too.
  Scenario Outline: a crowd at another address leaves a gateway within its memory
    Given a gateway with memory_mb 128 and max_fds 512
    When <count> clients send its <address> address <form> and stay connected
    Then its memory stayed under 96 MB, and its descriptors within 512
    And it answered one ordinary request while they were connected

    Examples:
      | count | address | form                                                 |
      | 100   | peer    | a peer message that stops just short of 2 MB         |
      | 60    | ready   | an announced body that stops just short of 4 MB      |
      | 60    | ready   | chunks of 1 MB that stop just short of 4 MB          |

  # Guards against the same bodies at an entry host; the bound leaves room for its account of 64 MB.
  Scenario Outline: a crowd of bodies leaves an entry host within its memory
    Given a small site with three entry hosts
    When 60 clients send entry host 0 <form> and stay connected
    Then its memory stayed under 200 MB, and its descriptors within 512
    And entry host 0 is alive

    Examples:
      | form                                                 |
      | chunks of 1 MB that stop just short of 8 MB          |
      | an announced body that stops just short of 8 MB      |

  # Guards against limits that refuse ordinary requests for their chunks.
  Scenario: a single request within the limits is served whatever its chunking
    Given a gateway with memory_mb 128 and max_fds 512
    When these bodies are sent to it one after the other
      | body_bytes | chunk_bytes |
      | 4194304    | 0           |
      | 4194304    | 16384       |
      | 4194304    | 1048576     |
      | 65536      | 16          |
      | 200000     | 2           |
      | 4000       | 1           |
      | 2048       | 1           |
    Then each of them is answered 200

  # Guards against refusals that don't say that the request has not run, or that never come.
  Scenario Outline: a body that can't be taken is answered
    Given a gateway with memory_mb 128 and max_fds 512
    When a client sends it <form>
    Then the client is answered <status>, and its connection is closed

    Examples:
      | form                                             | status |
      | an announced body of 32 MB                       | 413    |
      | chunks of 1 MB up to 32 MB                       | 413    |
      | chunks of 2 bytes that stop just short of 200 KB | 408    |
      | a false length                                   | 400    |
      | a false chunk size                               | 400    |
      | the first byte of a body                         | 408    |
