Feature: steward
  One steward for each failure domain gives orders to its engines. The end state is what the newest
  holder of the lease wishes, and enough replicas serve all the while.

  Scenario: a new version rolls over the engines, paced and with the minimum serving
    Given a domain of 4 engines with 2 stewards and loads of 400 ms
    When the placement wishes version "2" with at least 3 serving and loads of 600 ms at the store
    Then all engines hold version "2" within 20 s
    And at most 1 engine was out at any time
    And each load began in its own place of the store's line, 600 ms for each before it

  Scenario: adapters, role, another model and nothing at all are brought about
    Given a domain of 4 engines with 1 stewards and loads of 200 ms
    When the placements wish an adapter, a role, another model for "e2" and nothing on "e3"
    Then each engine holds what was wished within 15 s

  Scenario: the minimum is kept even if the wish has to wait
    Given a domain of 2 engines with 1 stewards and loads of 200 ms
    When the placement wishes version "2" with at least 2 serving and loads of 0 ms at the store
    Then no engine gets an order in 5 rounds
    When the placement wishes version "2" with at least 1 serving and loads of 0 ms at the store
    Then all engines hold version "2" within 10 s

  Scenario Outline: a holder is paused past its lease and wakes
    Given a domain of 4 engines with 2 stewards and loads of 200 ms
    And the placement wishes version "2" with at least 1 serving and loads of 0 ms at the store
    When the holder is paused <delay_ms> ms after its first order
    And the other steward holds the lease
    And the placement wishes version "3" with at least 1 serving and loads of 0 ms at the store
    Then all engines hold version "3" within 15 s
    When the paused steward wakes
    And an order of the paused one that was under way arrives at every engine
    Then the engines that check refused it and the ones that don't were put right within 5 s
    And no order of an old number was taken besides that one

    Examples:
      | delay_ms |
      | 0        |
      | 300      |

  Scenario: a steward that can't reach the service gives no orders
    Given a domain of 2 engines with 1 stewards and loads of 200 ms
    And the placement wishes version "2" with at least 1 serving and loads of 0 ms at the store
    And all engines hold version "2" within 15 s
    When the steward's link to the service is cut for longer than its lease
    And engine "e0" is given version "1" by hand
    Then no steward's order reaches an engine in 5 rounds
    When the steward's link to the service is mended
    Then all engines hold version "2" within 20 s

  Scenario: the service is restored and its revisions start lower
    Given a domain of 2 engines with 1 stewards and loads of 200 ms
    And the service's state is kept, then 200 other keys are written
    And the placement wishes version "2" with at least 1 serving and loads of 0 ms at the store
    And all engines hold version "2" within 15 s
    When the service is restored and the steward is started anew
    And the placement wishes version "3" with at least 1 serving and loads of 0 ms at the store
    Then all engines hold version "3" within 20 s
    And the fencing numbers that engines followed never fell
