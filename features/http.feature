Feature: The HTTP listener survives any input

  Scenario Outline: Invalid or oversized input gets an error code
    A client sends bytes that are not a valid request, or too many of them. If
    the listener failed on them, one bad client would take the host away from
    all other users.

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

  Scenario: A request that is never completed times out
    A client sends half a request and then nothing, a thousand times. Each one
    would hold memory and a connection for ever, until other callers can no
    longer connect.

    Given an HTTP listener with small limits
    When half a request is sent and the request timeout passes
    Then the listener answers with status 408 and code request_timeout
    And the listener has no open connection

  Scenario: A client that does not read its response is disconnected
    A client requests large responses and reads none of them. Without a write
    timeout the host would keep all responses in memory until it runs out.

    Given an HTTP listener with small limits
    When a large response is requested, not read, and the write timeout passes
    Then the listener has no open connection

  Scenario: Idle connections do not keep new ones out
    Thousands of clients connect and send nothing. New clients must still be able
    to connect, so the connections that were idle longest are closed.

    Given an HTTP listener with small limits
    When 30 clients connect to the listener and stay idle
    Then the listener still answers an ordinary request
    And the listener holds at most 8 connections

  Scenario: A graceful stop completes requests in flight
    An operator stops a host while requests run and others arrive on connections
    that are already open. Without draining, a user's request would end in a
    connection reset although nothing had failed.

    Given an HTTP listener with small limits
    When the listener drains while a request runs and another arrives late
    Then both requests of the drain are answered with status 200
    And new connections are refused

  Scenario: A connection that waits to be accepted when a stop begins is served
    The event loop was busy while a client connected and sent its request. Closing the
    listener would reset the connection.

    Given an HTTP listener with small limits
    When a client has sent a request that the listener did not accept, and it drains
    Then the client of the drain is answered with status 200
    And new connections are refused

  Scenario: A stop answers pipelined requests that have arrived
    They would be discarded behind a response that closes the connection.

    Given an HTTP listener with small limits
    When a client has sent 3 requests at once and the listener drains
    Then the client of the drain gets the statuses 200 200 200

  Scenario: A stop that runs out of time answers the requests that are left
    A closed connection doesn't tell the client whether its request ran.

    Given an HTTP listener with small limits
    When a drain ends while a request runs and another is not read completely
    Then the clients of the drain get the statuses 504 503
    And 0 requests were left

  Scenario: A stop that runs out of time refuses pipelined requests as not run
    They would be discarded behind the error of the request that is ended.

    Given an HTTP listener with small limits
    When a drain ends while the first of 3 pipelined requests runs
    Then the client of the drain gets the statuses 504 503 503
    And 0 requests were left

  Scenario: A drain counts a response that its client does not read
    Its client gets a part of it, which must not pass for a stop that cut off nothing.

    Given an HTTP listener with small limits
    When a drain ends while a client does not read its large response
    Then 1 requests were left

  Scenario: A response with a header that HTTP does not allow becomes an error
    Its connection would close without a response.

    Given an HTTP listener with small limits
    When a handler responds with a header value that contains a line break
    Then the client is told with status 500 that its request may have run

  Scenario: A drain counts no connection on which nothing is cut off
    Operators would look for requests that were lost, and the exit code would be 1.

    Given an HTTP listener with small limits
    When a drain ends while a client has its response and keeps its connection open
    Then 0 requests were left

  Scenario: A client that half-closes its connection gets a response
    Its request is abandoned, since a closed connection looks the same.

    Given an HTTP listener with small limits
    When a client sends a request that runs, and EOF
    Then the client is told with status 502 that its request may have run

  Scenario: A client's EOF arrives as its response is written
    The response kept the connection open, which stayed idle until its timeout.

    Given an HTTP listener with small limits
    When a client sends EOF in the iteration of the event loop in which its handler returns
    Then the client gets status 200 and the end of its connection

  Scenario: Arbitrary bytes never stop the listener
    Fuzzers, port scanners and broken clients send arbitrary bytes.

    Given an HTTP listener with small limits
    When arbitrary bytes are sent to the listener many times
    Then the listener still answers an ordinary request
    And the listener holds no body bytes

  Scenario: With TLS, a client without a valid certificate gets no response
    A listener is reachable from untrusted networks. A client without a
    certificate must not get a single byte of HTTP.

    Given an HTTP listener with TLS that requires client certificates
    When clients with a certificate, without one and without TLS connect
    Then only the client with a certificate gets a response

  Scenario: Connections with TLS wait for requests between responses
    Guards against connections that count as unanswered after their response: they
    were cut as slow readers, and a stop waited for them in vain.

    Given an HTTP listener with TLS that requires client certificates
    When a client with a certificate has got responses to 3 requests
    Then its connection is idle, and a drain of the listener leaves no request
