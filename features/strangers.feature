Feature: Unauthenticated callers learn nothing from an entry host

  Scenario: Without a key every path gets the same response
    Somebody probes the public port for services, upstreams and load. Whatever
    the host reveals to an unauthenticated caller helps an attacker, and goes
    unnoticed.

    Given an entry host with a listener for announcements and a metrics token
    When an unauthenticated caller requests paths that exist and one that does not
    Then each path gets the same refusal with status 401
    And the unauthenticated caller can read liveness and readiness

  Scenario: A draining host refuses requests and runs none
    The load balancer still sends a caller to a host that is stopping. The refusal
    must say correctly that nothing ran, so that the caller may retry at another
    host at once.

    Given an entry host with a listener for announcements and a metrics token
    When it drains while a caller sends a search on an open connection
    Then the caller gets status 503, code draining and ran no
