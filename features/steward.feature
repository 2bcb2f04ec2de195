Feature: steward
  One steward per failure domain sends orders to its engines. The engines end up in the state that the
  latest holder of the lease requests, and enough replicas serve at any time.

  Scenario: a new version is rolled out while the minimum of engines serves
    Given a domain of 4 engines with 2 stewards and loads of 400 ms
    When the placement requests version "2" with at least 3 serving and loads of 0 ms at the store
    Then all engines hold version "2" within 20 s
    And at most 1 engine was out of service at any time

  Scenario: loads are limited to the rate of the weight store
    Given a domain of 4 engines with 1 stewards and loads of 50 ms
    When the placement requests version "2" with at least 1 serving and loads of 600 ms at the store
    Then all engines hold version "2" within 20 s
    And each load started no earlier than its reserved time, 600 ms later for each load before it

  Scenario: adapters, roles, another model and an unload are applied
    Given a domain of 4 engines with 1 stewards and loads of 200 ms
    When the placements request an adapter, a role, another model for "e2" and no model on "e3"
    Then each engine holds what was requested within 15 s

  Scenario: the minimum is kept even if a change is delayed
    Given a domain of 2 engines with 1 stewards and loads of 200 ms
    When the placement requests version "2" with at least 2 serving and loads of 0 ms at the store
    Then no engine gets an order in 5 rounds
    When the placement requests version "2" with at least 1 serving and loads of 0 ms at the store
    Then all engines hold version "2" within 10 s

  Scenario Outline: a holder is paused until after its lease has expired and resumes
    Given a domain of 4 engines with 2 stewards and loads of 200 ms
    And the placement requests version "2" with at least 1 serving and loads of 0 ms at the store
    When the holder is paused <delay_ms> ms after its first order
    And the other steward holds the lease
    And the placement requests version "3" with at least 1 serving and loads of 0 ms at the store
    Then all engines hold version "3" within 15 s
    When the paused steward resumes
    And an in-flight order of the paused steward arrives at every engine
    Then the engines that check fencing refused it and the others were corrected within 5 s
    And no other order with an old fencing number was accepted

    Examples:
      | delay_ms |
      | 0        |
      | 300      |

  Scenario: a holder that is delayed within a round sends nothing once its lease has expired
    Given a domain of 2 engines with 0 stewards and loads of 200 ms
    And the placement requests version "2" with at least 0 serving and loads of 100 ms at the store
    When a steward is delayed right before its first order, until another has rolled out version "3"
    Then that steward sent no order
    And all engines hold version "3" within 5 s

  Scenario: a steward that can't reach the store sends no orders
    Given a domain of 2 engines with 1 stewards and loads of 200 ms
    And the placement requests version "2" with at least 1 serving and loads of 0 ms at the store
    And all engines hold version "2" within 15 s
    When the steward's link to the store is cut for longer than its lease
    And engine "e0" is ordered to version "1" manually
    Then no steward's order reaches an engine in 5 rounds
    When the steward's link to the store is restored
    Then all engines hold version "2" within 20 s

  Scenario: the store is restored and its revisions start lower
    Given a domain of 2 engines with 1 stewards and loads of 200 ms
    And the store's state is saved, then 200 other keys are written
    And the placement requests version "2" with at least 1 serving and loads of 0 ms at the store
    And all engines hold version "2" within 15 s
    When the store is restored and the steward is restarted
    And the placement requests version "3" with at least 1 serving and loads of 0 ms at the store
    Then all engines hold version "3" within 20 s
    And the fencing numbers that engines accepted never decreased
