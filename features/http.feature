Feature: The HTTP listener outlives whatever is sent to it

  Scenario Outline: Input that breaks the rules gets a coded error
    A caller, or something that only looks like one, sends bytes that are no
    request, or too many of them. A user notices a fault here when one bad
    client takes the host away from everybody else.

    Given an HTTP listener with small limits
    When raw bytes are sent to the listener: <bytes>
    Then the listener answers with status <status> and code <code>
    And the listener still answers an ordinary request

    Examples:
      | bytes             | status | code              |
      | garbage           | 400    | invalid_request   |
      | a huge head       | 431    | headers_too_large |
      | a huge body       | 413    | body_too_large    |
      | a long length     | 413    | body_too_large    |
      | endless chunks    | 413    | body_too_large    |
      | two hundred names | 400    | invalid_request   |
      | a failing handler | 500    | internal          |
      | a refused request | 503    | overloaded        |

  Scenario: A request that never ends is cut off
    A caller sends half a request and then nothing, a thousand times over. Each
    one would hold memory and a connection for good, and after a while honest
    callers would find no room.

    Given an HTTP listener with small limits
    When half a request is sent and the request timeout passes
    Then the listener answers with status 408 and code request_timeout
    And the listener has no open connection

  Scenario: A caller that does not read its answer is cut off
    A caller asks for large answers and reads none of them. Without a bound the
    host keeps every answer in memory until it is out of it.

    Given an HTTP listener with small limits
    When a large answer is asked for, not read, and the write timeout passes
    Then the listener has no open connection

  Scenario: Idle callers do not crowd out new ones
    Thousands of callers connect and say nothing. New callers must still get in,
    so the longest idle connections make room.

    Given an HTTP listener with small limits
    When 30 callers connect to the listener and stay idle
    Then the listener still answers an ordinary request
    And the listener holds at most 8 connections

  Scenario: A planned stop finishes what is in flight
    An operator stops a host while requests run and others are on their way on
    connections that are open. A user notices a fault here as a request that
    ends in a reset although nothing had failed.

    Given an HTTP listener with small limits
    When the listener drains while a request runs and another comes late
    Then both requests of the drain are answered with status 200
    And new connections are refused

  Scenario: Garbage of any kind never stops the listener
    Fuzzers, port scanners and broken clients send anything at all.

    Given an HTTP listener with small limits
    When arbitrary bytes are sent to the listener many times
    Then the listener still answers an ordinary request
    And the listener holds no body bytes

  Scenario: With TLS, who has no certificate of ours learns nothing
    A listener stands where strangers can reach it. Somebody without a
    certificate must not get as far as a single byte of HTTP.

    Given an HTTP listener with TLS that asks for certificates
    When a caller with a certificate, one without and one without TLS connect
    Then only the caller with a certificate gets an answer
