Feature: the adapter to the users' platform
  The adapter translates between the formats of the platform and of the router; no other module uses the
  names of the platform.

  Scenario: no module outside the adapter uses the platform's names
    Then no module outside the adapter and its stand-ins contains a header, path or key of the platform

  Scenario: an operator's configuration becomes routes, services, workspaces and limits
    Given the platform's record of a configuration
    Then its routes, services, engine, workspaces and limits are decoded

  Scenario: request headers are translated in both directions
    Given a client's request with an API key, a deadline and custom headers
    Then the replica is sent the workspace, the remaining time, its id and the path instead of the client's values
    And the client's other headers are forwarded, and connection headers are not

  Scenario Outline: a replica's answer is classified
    Given an answer <status> with the headers "<headers>"
    Then it is "<meaning>"

    Examples:
      | status | headers                                                            | meaning       |
      | 200    | Pimentodale-Replica-Stamp=s;Pimentodale-Attempt-Id=me              | success       |
      | 200    | Pimentodale-Attempt-Id=me                                          | not genuine   |
      | 200    | Pimentodale-Replica-Stamp=s;Pimentodale-Attempt-Id=other           | not genuine   |
      | 200    | Pimentodale-Replica-Stamp=s;Content-Encoding=gzip                  | not genuine   |
      | 503    | Pimentodale-Not-Executed=1;At-Server=10.0.0.1:80                   | no room       |
      | 421    | Pimentodale-Replica-Id=i-2                                         | wrong replica |
      | 500    | Pimentodale-Replica-Stamp=s                                        | own failure   |
      | 503    | Pimentodale-Replica-Stamp=s                                        | false promise |

  Scenario Outline: a probe distinguishes a live replica from one that is gone
    Given a replica that answers "<answer>" to a request without an attempt id
    Then a probe finds that it "<finding>"

    Examples:
      | answer                | finding                     |
      | 200 report born 7     | lives since 7               |
      | 400                   | lives                       |
      | 503                   | lives                       |
      | 421                   | is another replica          |
      | none                  | does not answer             |

  Scenario: the settings template that the platform fills in is valid for the gateway
    Given the template of the gateway's settings filled with examples
    Then the settings are read, unknown fields are ignored and a missing one is named

  Scenario: the store's calls satisfy the contract of the key-value interface
    Given a stand-in of the platform's store
    Then keys are written conditionally, read back and removed, and conflicts return the current key
    And a watch reports each change, and a discarded history as a fault
    And the keys of an expired lease are removed
    And a store that is down causes faults that say whether a write may have been applied
