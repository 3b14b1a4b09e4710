Feature: Strangers learn nothing from an entry host

  Scenario: Without a key every path looks the same
    Somebody probes the callers' port for services, upstreams and load. What the
    host tells a stranger helps an attack and is noticed by nobody.

    Given an entry host with a listener for announcements and a metrics token
    When a stranger asks for paths that exist and one that does not
    Then each path gets the same refusal with status 401
    And liveness and readiness are told to the stranger

  Scenario: A draining host says so and runs nothing
    The balancer still sends a caller to a host that is stopping. The refusal
    must be truthful, so that the caller may go to another host at once.

    Given an entry host with a listener for announcements and a metrics token
    When it drains while a caller sends a search on an open connection
    Then the caller gets status 503, code draining and ran no
