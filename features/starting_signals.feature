Feature: signals while a program starts
  The platform may send SIGHUP and SIGTERM at any moment, also while a program starts.

  # Guards against a program that SIGHUP ends while it starts, again and again.
  Scenario Outline: <program> survives SIGHUP at any moment of its start
    Given 20 starts of <program>
    When each gets SIGHUP at another moment between the start of its code and its readiness
    Then all of them run, and end with 0 at SIGTERM

    Examples:
      | program            |
      | pimentodale-gateway |
      | pimentodale-entry  |

  Scenario Outline: <program> survives a series of SIGHUP while it starts
    Given 5 starts of <program>
    When each gets SIGHUP every 20 ms until its readiness
    Then all of them run, and end with 0 at SIGTERM

    Examples:
      | program            |
      | pimentodale-gateway |
      | pimentodale-entry  |

  # Guards against a planned stop that counts as a crash because the program had just been started.
  Scenario Outline: <program> ends with 0 at SIGTERM at any moment of its start
    Given 20 starts of <program>
    When each gets SIGTERM at another moment between the start of its code and its readiness
    Then all of them have ended with 0

    Examples:
      | program            |
      | pimentodale-gateway |
      | pimentodale-entry  |
