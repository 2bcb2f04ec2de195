Feature: results
  Each way in which a request can end has a number, a name and a line in the reference.

  Scenario: the reference lists the module's codes
    When the reference table of result codes is read
    Then it lists each code of the module once, with its name and HTTP status
