Feature: A refusal states truthfully whether its request may have run

  Scenario: Random sequences of events
    A caller resends a request only where it was told that it did not run. If a request
    that was offered to an upstream got a 503, it could run twice; if one that was
    offered to none got a 502 or a 504, its caller would give up for no reason.

    When 150 random sequences of 120 events are played
    Then no request that was offered to an upstream got a 503
    And every refused request that was offered to none got a 503 with a retry-after
    And refusals of both kinds occurred

  Scenario: An attempt that waits for a connection when its upstream is out of reach
    No byte of it was written. If it counted as possibly run, its caller would get a 502
    instead of sending the request to another host.

    Given a router with a route for non-idempotent requests, and no free connection
    When a request arrives and no upstream can be reached
    Then it is refused with incomplete and a retry-after, and its attempts are released

  Scenario: The deadline passes while a helper can't be connected to
    Given a helper that cannot be connected to
    When attempts are delegated to it and released before a byte was sent
    Then they are reported as unsent, and none of them counted as started

  Scenario: An attempt is released while the call to its helper is not sent yet
    Its request may be refused as not run, so the helper must not get this attempt.

    Given a helper that is connected to after a while
    When attempts are delegated to it and one is released before a byte was sent
    Then it is reported as unsent, and the helper sends only the other ones

  Scenario: A connection breaks before the first byte of a request is written
    The upstream closed an idle connection, and the host notices it by the failed write.

    When a request is sent on a connection whose first write fails
    Then its attempt ends as unsent

  Scenario: A request that arrives without time left is not sent
    Its caller had waited for a connection until milliseconds before its deadline. The
    request was sent and refused as not run in the same moment; a host that had passed
    it on by then would have made the refusal untrue.

    Given a router with a sweep over 3 shards of 2 upstreams each
    When a sweep arrives with 5 ms left
    Then it is refused as incomplete and nothing is sent
