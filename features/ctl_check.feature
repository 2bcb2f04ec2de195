Feature: check of a gateway's configuration
  Operators learn before a write what hosts would refuse, ignore or take without a word.

  Scenario: a sound configuration is clean
    Given a sound configuration
    When the operator checks it with "--memory-mb 200"
    Then the check ends with code 0 and reports nothing

  Scenario Outline: hosts refuse it: <edit>
    Given a sound configuration in which <edit>
    When the operator checks it with ""
    Then the check ends with code 3 and reports an "error" of section "error" that says "<text>"
    And the finding names the line that holds "<marker>"

    Examples:
      | edit                                   | text                          | marker           |
      | $.version is absent                    | missing required field        | {                |
      | $.version is "seven"                   | Expected `int`                | "version"        |
      | $.routes[0].path_prefix is absent      | missing required field        | {                |
      | $.routes[1].timeout_ms is "long"       | Expected `float \| null`      | "long"           |
      | $.routes[1].timeout_ms is @            | malformed                     | @                |
      | $.services is {}                       | Expected `array`              | "services"       |
      | $.tenants[0].api_keys is "sk-secret-0" | Expected `array`              | "api_keys"       |

  Scenario Outline: hosts take it, with a warning: <edit>
    Given a sound configuration in which <edit>
    When the operator checks it with "--memory-mb 200"
    Then the check ends with code 0 and reports a "warning" of section "<section>" that says "<text>"
    And the finding names the line that holds "<marker>"

    Examples: entries that can never match
      | edit                                                  | section       | text                      | marker          |
      | $.routes is []                                        | never-matches | there are no routes       | "routes"        |
      | $.routes[1].path_prefix is "/chat/"                   | never-matches | is shadowed by            | {               |
      | $.routes[1].path_prefix is "files/"                   | never-matches | begin and end             | "files/"        |
      | $.routes[1].path_prefix is "/files"                   | never-matches | begin and end             | "/files"        |
      | $.routes[1].path_prefix is "/a?b/"                    | never-matches | holds a query             | "/a?b/"         |
      | $.routes[1].host is "api.example:80"                  | never-matches | without port              | "api.example:80" |
      | $.routes[1].kind is "idempotnt"                       | never-matches | unknown kind              | "idempotnt"     |
      | $.routes[1].service is "gone"                         | never-matches | doesn't exist             | "gone"          |
      | $.routes[0].traffic_split is [{"service":"plain"}]    | never-matches | no route leads to service | {               |
      | $.routes[1].max_attempt is 2                          | never-matches | much like max_attempts    | {               |
      | $.routes[0].service is "model"                        | never-matches | ignore service            | "service"       |
      | $.routes[0].traffic_split[1].weight is 0              | never-matches | with weight 0             | "weight": 0     |
      | $.routes[0].traffic_split[1].service is "gone"        | never-matches | doesn't exist             | "gone"          |
      | $.services[1].name is "model"                         | never-matches | is replaced by            | {               |
      | $.tenants[1].api_keys is ["sk-secret-0"]              | never-matches | is also held by workspace | "sk-secret-0"   |
      | $.tenants[1].api_keys is []                           | never-matches | has no API keys           | "api_keys": []  |
      | $.tenants[1].api_keys is [""]                         | never-matches | empty API key             | ""              |

    Examples: limits that are absurd or contradict each other
      | edit                                                  | section | text                     | marker                |
      | $.routes[1].timeout_ms is -1                          | limit   | must be over 0           | "timeout_ms": -1      |
      | $.routes[1].timeout_ms is 0                           | limit   | must be over 0           | "timeout_ms": 0       |
      | $.routes[1].timeout_ms is 999                         | limit   | over timeout_ms          | "target_latency_ms"   |
      | $.routes[0].gap_target_ms is 90000                    | limit   | over timeout_ms          | "gap_target_ms"       |
      | $.routes[1].target_latency_ms is 0                    | limit   | must be over 0           | "target_latency_ms"   |
      | $.routes[1].priority is -1                            | limit   | is under 0               | "priority"            |
      | $.routes[1].max_attempts is 0                         | limit   | hosts take 1             | "max_attempts": 0     |
      | $.routes[1].max_attempts is 2                         | limit   | neither idempotent       | "max_attempts": 2     |
      | $.routes[0].traffic_split[0].weight is -1             | limit   | is -1; hosts take 0      | "weight": -1          |
      | $.routes[0].traffic_split is [{"service":"model","weight":0}] | limit | sum to 0          | "traffic_split"       |
      | $.services[0].max_conns is -1                         | limit   | is under 0               | "max_conns"           |
      | $.services[0].health_path is "health"                 | limit   | begin with a slash       | "health_path"         |
      | $.services[0].engine.kinds is []                      | limit   | no kinds                 | "kinds"               |
      | $.services[0].engine.layer_mb is 80000                | limit   | no kind can hold one     | "layer_mb"            |
      | $.services[0].engine.layers is 0                      | limit   | is under 1               | "layers"              |
      | $.services[0].engine.step_ms is 0                     | limit   | must be over 0           | "step_ms"             |
      | $.services[0].engine.pipe_mbps is -1                  | limit   | is under 0               | "pipe_mbps"           |
      | $.services[0].engine.kinds[0].pace is 0               | limit   | must be over 0           | "pace"                |
      | $.tenants[0].priority is -1                           | limit   | is under 0               | "priority": -1        |
      | $.limits.max_header_bytes is 0                        | limit   | is under 1               | "max_header_bytes"    |
      | $.limits.max_body_bytes is 0                          | limit   | is under 1               | "max_body_bytes"      |
      | $.limits.max_body_bytes is 40000000                   | limit   | a host of 200 MB         | "max_body_bytes"      |
      | $.limits.header_timeout_ms is 0                       | limit   | must be over 0           | "header_timeout_ms"   |
      | $.limits.idle_timeout_ms is 100                       | limit   | is under header          | "idle_timeout_ms"     |

  Scenario: nesting near the decoder's limit is a warning, as hosts may refuse it
    Given a sound configuration in which a field that hosts don't read nests 300 deep
    When the operator checks it with ""
    Then the check ends with code 0 and reports a "warning" of section "limit" that says "deep"

  Scenario Outline: differences from the version in force: <edit>
    Given a sound configuration in which <edit>
    When the operator compares it with the version before
    Then the difference of "<subject>" says "<text>" and affects routes "<routes>" and workspaces "<workspaces>"

    Examples:
      | edit                                       | subject                       | text                      | routes                                 | workspaces |
      | $.routes[1].timeout_ms is 5000             | route "api.example/files/"    | timeout_ms 9000.0 -> 5000.0 | api.example/files/                   | none       |
      | $.routes[0].priority is 3                  | route "api.example/chat/"     | priority 1 -> 3           | api.example/chat/                      | w0 w1      |
      | $.routes[1].path_prefix is "/data/"        | route "api.example/data/"     | added                     | api.example/data/                      | none       |
      | $.routes[1].path_prefix is "/data/"        | route "api.example/files/"    | removed                   | api.example/files/                     | none       |
      | $.services[0].engine.step_ms is 2          | service "model"               | step_ms 1.0 -> 2.0        | api.example/chat/                      | w0 w1      |
      | $.services[0].engine.kinds[0].mb is 9000   | service "model"               | memory_mb                 | api.example/chat/                      | w0 w1      |
      | $.tenants[0].priority is 2                 | workspace "w0"                | priority None -> 2        | api.example/chat/                      | w0         |
      | $.tenants[0].api_keys is ["sk-secret-9"]   | workspace "w0"                | removed                   | api.example/chat/                      | w0         |
      | $.tenants is null                          | access                        | True -> False             | api.example/chat/                      | w0 w1      |
      | $.limits.max_body_bytes is 1000            | limit max_body_bytes          | -> 1000                   | api.example/chat/ api.example/files/   | w0 w1      |

  Scenario: a version that hosts ignore is an error
    Given a sound configuration in which $.version is 6
    When the operator compares it with the version before
    Then the check ends with code 3 and reports an "error" of section "error" that says "isn't over version 7"

  Scenario Outline: a check that can't run says why: <arguments>
    When an operator runs "<arguments>"
    Then the operator's command ends with code <code> and says "<text>"

    Examples:
      | arguments                          | code | text        |
      | check absent.json                  | 1    | absent.json |
      | check                              | 2    | FILE        |
      | check absent.json --memory-mb 0    | 2    | --memory-mb |

  Scenario: the check agrees with a host about any configuration and shows no API key
    Then for drawn configurations a host takes into force just those without an error

  Scenario: a large configuration is checked quickly
    When a configuration of 1560 routes is checked against the version before
    Then the check has taken under 2 s
