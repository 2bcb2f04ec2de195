Feature: host list
  The list is read into typed targets; what can't be used is named and the rest is taken.

  Scenario: targets of every kind are read, and bad ones are named
    Given a host list with one engine, one service, one entry host and three bad targets
    When the host list is read
    Then it holds the engine, the service and the entry host with their labels
    And it names the three bad targets

  Scenario: a change shows after the lag, and an outage keeps the last list
    Given a host list that lags 600 ms and a poller at 50 ms
    When the engine is marked leaving
    Then the poller shows it leaving, not before 500 ms and not after 2000 ms
    When the host list is down for 10 polls
    Then the poller still shows the engine

  Scenario: a view shows relays in place of hosts
    Given a host list with a view that replaces the engine's address
    Then the plain list shows the engine's address and the view shows the relay's
