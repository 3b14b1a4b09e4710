Feature: Callers of an environment in one process

  Scenario: The public client gets a complete answer
    Given a development environment on loopback
    When the client searches credits-0 and credits-1 by sweep
    Then the answer is complete, of one snapshot, with rows of both services

  Scenario Outline: An invalid request is refused with an error code
    A caller mistypes a key, a service or a header. The response must tell what
    was wrong and whether anything ran.

    Given a development environment on loopback
    When a search is sent with <mistake>
    Then it is refused with status <status>, code <code> and ran no
    And the environment still answers

    Examples:
      | mistake               | status | code            |
      | a wrong key           | 401    | unauthorized    |
      | no key                | 401    | unauthorized    |
      | bad JSON              | 400    | invalid_request |
      | an unknown field      | 400    | invalid_request |
      | an unknown service    | 404    | unknown_service |
      | an unknown kind       | 404    | unknown_kind    |
      | no service            | 400    | invalid_request |
      | a zero deadline       | 400    | invalid_request |
      | no idempotency key    | 400    | invalid_request |

  Scenario: A retried billed request does not run again
    The reply to a billed request is lost and the caller retries it through
    another host. A second run would bill the user twice.

    Given a development environment on loopback
    When the same billed request is sent through every entry host
    Then the answers are the same and the upstreams ran it once

  Scenario: Invalid announcements are refused
    A client that is not an upstream posts to the announce port. Without
    validation one message could fill the directory or send queries to an
    address where no upstream listens.

    Given a development environment on loopback
    When arbitrary announcements are posted many times
    Then each gets an error code or a lease
    And every upstream in the directory is valid
    And the environment still answers

  Scenario: A third-party upstream serves a complete answer
    A third party writes an upstream from the published interface alone, with the
    HTTP server of the standard library. If this did not work, no third party
    could add upstreams.

    Given a development environment on loopback without upstreams
    When an upstream on http.server announces credits-0
    Then a search of credits-0 is answered completely with its rows

  Scenario: A session recovers from blackholed connections after one timeout
    A firewall between caller and host loses its connection table: bytes are
    lost, no reset arrives, and new connections work. Unless the session closed
    all its keep-alive connections after the first timeout, one search after
    another would time out.

    Given a development environment on loopback
    And a caller's session with several connections through a relay
    When all connections of the session are blackholed and it searches
    Then this search times out and is reported as possibly run
    And the session's next search gets a complete answer
