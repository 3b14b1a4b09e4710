Feature: A host that is stopping answers every request in time

  Scenario: Requests that outlast the host are answered before it stops
    A connection that only closes doesn't tell the caller whether its request ran.

    Given a router with a route for non-idempotent requests
    When a non-idempotent request arrives
    And the host stops in 500 ms
    And 499 ms pass
    Then the request is still in progress
    When 1 ms pass
    Then the request is refused with deadline_exceeded
    And the error says that the host is stopping

  Scenario: A sweep gets the parts that have arrived when the host stops
    Given a router with a sweep over 4 shards of 3 upstreams each
    When a sweep arrives
    And all its attempts but the first are answered
    And the host stops in 20 ms
    And 20 ms pass
    Then it is answered with 3 parts and 1 missing

  Scenario: A request that would outlast the host is refused before it is sent
    It would be cut off, while another host could still serve it.

    Given a router with a route for non-idempotent requests
    When 8 requests have taken 300 ms each
    And the host stops in 200 ms
    And a non-idempotent request arrives
    Then the request is refused with draining and a retry-after
    And 0 attempts were sent

  Scenario: A request that fits before the stop is served
    Given a router with a route for non-idempotent requests
    When 8 requests have taken 100 ms each
    And the host stops in 200 ms
    And a non-idempotent request arrives
    And its attempt is answered
    Then the reply is forwarded to the caller
