Feature: odd entries of another writer among those of the replicas
  An entry that can't be understood names no replica; the others hold, and whoever reads goes on.

  # Guards against hosts that end, or stop following the replicas, at one odd entry of another writer.
  Scenario Outline: among the records of the platform's store, one <odd>
    Given a host that follows the records of two replicas
    When another writer adds a record <odd>
    And one of the replicas announces that it leaves
    Then the host knows just the two replicas, and that the one leaves

    Examples:
      | odd                                  |
      | nested 100,000 lists deep            |
      | nested 100,000 objects deep          |
      | with a port of 70000                 |
      | with a port of 400 digits            |
      | with slots of 400 digits             |
      | with slots of 1e400                  |
      | with slots of -1                     |
      | with a start of 400 digits           |
      | with a start before all time         |
      | with layers from -9                  |
      | with layers to 10^14                 |
      | of bytes that are no text            |

  Scenario Outline: in the host list of the own interface, one <odd>
    Given a host list of two engines
    When another writer adds an entry <odd>
    Then the two engines are read, and the entry is named as one that can't be used

    Examples:
      | odd                                  |
      | nested 100,000 lists deep            |
      | nested 100,000 objects deep          |
      | with a port of 70000                 |
      | with a port of 400 digits            |
      | with slots of 400 digits             |
      | with slots of -1                     |
      | with a rate that is no number        |
      | with a rate without end              |
      | with layers from -9                  |
      | with layers to 10^14                 |
      | with targets that are no list        |
      | that is a number                     |

  # Guards against a task that ends for good at one message, record or answer that nests too deeply.
  Scenario Outline: bytes nested 100,000 lists deep, read as <what>
    When <what> is read from bytes nested 100,000 lists deep
    Then it is refused, and nothing is raised

    Examples:
      | what                             |
      | a configuration of the platform  |
      | an answer of the platform's store |
      | a message between hosts          |
      | a stored crash entry             |
      | a stored quarantine entry        |
      | a snapshot of the configuration  |
      | a claim of the ledger            |
      | an answer of the key-value service |
      | an engine's state                |
