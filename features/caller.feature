Feature: Callers of an environment in one process

  Scenario: The public client gets a whole answer
    Given a development environment on loopback
    When the client searches credits-0 and credits-1 by sweep
    Then the answer is complete, of one snapshot, with rows of both services

  Scenario Outline: A request that breaks the interface is refused in words
    A caller mistypes a key, a service or a header. A user notices a fault here
    as an answer that leaves open what was wrong or whether something ran.

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
      | a missing idempotency | 400    | invalid_request |

  Scenario: A billed request that is sent again is not run again
    The reply to a billed request is lost and the caller sends it again, through
    another host. A user notices a second run as a second bill.

    Given a development environment on loopback
    When the same billed request is sent through every entry host
    Then the answers are the same and the upstreams ran it once

  Scenario: Announcements that cannot be true are refused
    Something that is no upstream posts to the announce port. Without checks one
    message could fill the directory or send queries to nowhere.

    Given a development environment on loopback
    When arbitrary announcements are posted many times
    Then each gets a coded error or a lease
    And every upstream in the directory can be true
    And the environment still answers

  Scenario: An upstream of others serves a complete answer
    Somebody writes an upstream from the published interface alone, with the
    standard library's HTTP server. If it did not work, nobody could join.

    Given a development environment on loopback without upstreams
    When an upstream on http.server announces credits-0
    Then a search of credits-0 is answered completely with its rows

  Scenario: A session whose connections all fall silent needs one timeout
    A firewall between caller and host forgets its table: bytes vanish, no reset
    arrives, new connections work. A caller with many connections kept alive
    would otherwise see one search after another time out.

    Given a development environment on loopback
    And a caller's session with several connections through a relay
    When all connections of the session fall silent and it searches
    Then this search ends at its timeout as one that may have run
    And the session's next search is answered in full
