Feature: what replicas say of themselves in their answers
  A replica says that it leaves, or that it wants nothing for a while. What counts is what reaches it.

  # Guards against work for a replica that leaves where the store's record does not say so.
  Scenario Outline: <what> that says in its answers that it leaves gets no requests from 2 s on
    Given a site of two gateways, eight replicas and a store
    When the store is <store>, and <what> says in its answers that it leaves
    And requests are sent until one of its answers is passed on
    Then no request reaches it from 2 s to 4 s after that, and all are served

    Examples:
      | what                          | store  |
      | a plain replica               | up     |
      | a plain replica               | down   |
      | the first replica of streams  | up     |
      | the first replica of streams  | down   |

  # Guards against a replica that is left without work for ever once it has started anew.
  Scenario: a replica that has said that it leaves gets requests again once it has started anew
    Given a site of two gateways, eight replicas and a store
    When the store is up, and a plain replica says in its answers that it leaves
    And requests are sent until one of its answers is passed on
    And it starts anew
    Then requests reach it again within 5 s

  # Guards against signs of whatever stands at a replica's address now.
  Scenario Outline: an answer with status <status> of <whose> replica <shows> that it leaves
    Given a replica that the host knows
    When an answer with status <status> of <whose> replica says that it leaves
    Then the replica <gets> work

    Examples:
      | status | whose   | shows         | gets   |
      | 200    | the     | shows         | has no |
      | 500    | the     | shows         | has no |
      | 503    | the     | shows         | has no |
      | 421    | another | does not show | gets   |

  # Guards against signs that are lost as the store's older record is read once more.
  Scenario: a sign of leaving outlives older records, and ends with the incarnation
    Given a replica that the host knows
    When signs and records of two incarnations come in any order from several hosts
    Then it has no work while the newest incarnation known has said that it leaves, and gets it else
