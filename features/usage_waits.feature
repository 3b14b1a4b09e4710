Feature: A request that newer totals may admit waits for them
  A host that was frozen, or whose totals count requests that have left the window, would
  refuse a request within its team's limit.

  Background:
    Given an entry host's router with a team that may send 10 requests in a window
    And other hosts were offered 9 requests, of which 3 leave the window soon
    When the team sends 2 requests with 1000 ms left
    Then the first is sent, and the second waits

  Scenario: Newer totals have room
    When newer totals count 6 requests at other hosts
    Then the second is sent

  Scenario: Newer totals have no room
    What can't be served is refused as soon as that is known.
    When newer totals count 20 requests at other hosts
    Then the second is refused with 429 and a time to retry

  Scenario: Totals that were requested before it came say nothing new
    When totals that are older than the request count 6 requests at other hosts
    Then the second still waits

  Scenario: No totals come
    When 240 ms pass
    Then the second still waits
    When 20 ms pass
    Then the second is refused with 429 and a time to retry

  Scenario: The caller leaves meanwhile
    When the caller of the second leaves
    And newer totals count 6 requests at other hosts
    Then the second is not sent, and only the first is in flight

  Scenario: Its time counts from its arrival
    When 200 ms pass
    And newer totals count 6 requests at other hosts
    And 790 ms pass
    Then the second is answered without a reply of an upstream

  Scenario: The key is revoked meanwhile
    A request is checked again after its wait, or it would run with a revoked key.
    When the table is replaced by one without the team's key
    And newer totals count 6 requests at other hosts
    Then the second is refused with 401

  Scenario: A team above its limit by this host's own count doesn't wait
    When the team sends 9 requests with 1000 ms left
    Then the last is refused with 429 and a time to retry

  Scenario: Waits of two teams end with the same totals
    A refusal that showed what the decision about the other team was based on would
    mislead operators.
    When a request of another team with a limit of 20 waits too, and no totals come
    Then each refusal shows the limit of its own team
