Feature: soak
  Faults in series, drawn by a seed, while clients book and read streams through both gateways.

  Scenario Outline: no promise is broken under seed <seed>
    When a site is soaked for <seconds> s under seed <seed>
    Then no promise was broken, and bookings and streams were served

    Examples:
      | seed | seconds |
      | 1    | 10      |
      | 2    | 10      |
