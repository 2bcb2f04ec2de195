Feature: the adapter to the users' platform
  It translates, and nothing outside of it knows the platform's names.

  Scenario: no module outside the adapter names the platform's words
    Then no module outside the adapter and its stand-ins holds a header, path or key of the platform

  Scenario: an operator's configuration becomes routes, services, workspaces and limits
    Given the platform's record of a configuration
    Then its routes, services, engine, workspaces and limits are decoded

  Scenario: a request's headers are translated both ways
    Given a client's request with its key, its deadline and headers of its own
    Then the replica is sent the workspace, the time left, its id and the path in place of the client's words
    And the client's other headers are passed on, and those of the connection are not

  Scenario Outline: a replica's answer is told apart
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

  Scenario Outline: a probe tells a replica that lives from one that is gone
    Given a replica that answers "<answer>" to a question without an attempt's id
    Then a probe finds that it "<finding>"

    Examples:
      | answer                | finding                     |
      | 200 report born 7     | lives since 7               |
      | 400                   | lives                       |
      | 503                   | lives                       |
      | 421                   | is another replica          |
      | none                  | does not answer             |

  Scenario: the settings that the platform fills in are the gateway's own
    Given the template of the gateway's settings filled with examples
    Then the settings are read, fields that are not known are passed over and a missing one is named

  Scenario: the store's calls keep the promises of the key-value interface
    Given a stand-in of the platform's store
    Then keys are written under conditions, read back and removed, and conflicts show the key as it is
    And a watch tells of each change, and of a dropped history by a fault
    And a lease's keys go with it
    And a store that is down gives faults that say whether a write may have been done
