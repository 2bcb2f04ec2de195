Feature: operators' commands
  Exit codes are what the reference says, and a token fits its digest.

  Scenario: the reference lists the exit codes
    When the reference table of exit codes is read
    Then it lists each exit code once, with its name

  Scenario: a new token comes with its digest
    When a token is asked for twice
    Then each digest is that of its token and the tokens differ

  Scenario Outline: commands that can't do their work say why
    When an operator runs "<arguments>"
    Then the operator's command ends with code <code> and says "<text>"

    Examples:
      | arguments                                                   | code | text           |
      | config check absent.yaml                                    | 1    | absent.yaml    |
      | config list                                                 | 2    | --key-value    |
      | config list --key-value=somewhere                           | 2    | IP:PORT        |
      | config list --key-value=127.0.0.1:1                         | 5    | can't be read  |
      | config status --entry=127.0.0.1:1                           | 5    | 127.0.0.1:1    |
      | config remove 10-models.yaml --key-value=127.0.0.1:1        | 2    | --revision     |
