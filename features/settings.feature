Feature: settings
  A settings file that can't be used is refused at once, with the place and the mending.

  Scenario Outline: a bad settings file names its fault
    Given a settings file "<name>" that reads "<text>"
    When "<program>" is run with it
    Then it exits with code 2
    And its output names "<place>" and "<problem>"

    Examples:
      | program             | name     | text                      | place      | problem       |
      | pimentodale-standin | bad.yaml | parts: 7                  | bad.yaml   | Expected      |
      | pimentodale-standin | bad.yaml | parts: [                  | line       | not YAML      |
      | pimentodale-standin | bad.yaml | parts: [{kind: kettle}]   | parts[0]   | kettle        |
      | pimentodale-standin | bad.yaml | {parts: [], colour: red}  | top level  | colour        |
