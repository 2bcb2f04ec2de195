Feature: library
  The parts work without the entry program, as the reference shows.

  Scenario: every example of the library reference runs
    When the examples of the library reference are run one by one
    Then each of the 8 examples ends without a fault
