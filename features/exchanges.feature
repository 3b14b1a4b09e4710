Feature: Byte exchanges with upstreams

  Scenario: A complete reply with the request's id and a signature is accepted
    Given an upstream that replies correctly
    When 2 exchanges are made one after the other
    Then both succeed over 1 connection

  Scenario: A reply with another request's id is refused
    An upstream answers late, on a connection that carries the next request by then. Its
    caller would get another caller's record.

    Given an upstream that replies with another request's id
    When an exchange is made
    Then it fails as garbled
    And its connection is not reused

  Scenario: A success without a signature is refused
    Something other than the upstream answers at its address.

    Given an upstream that sends no signature
    When an exchange is made
    Then it fails as garbled

  Scenario Outline: A reply whose status is <status> is refused
    An upstream in trouble sent it, and its caller got it as an answer.

    Given replies of an upstream with the status <status>
    When an exchange is made
    Then it fails as lost

    Examples:
      | status |
      | 000    |
      | 099    |
      | 20     |
      | 2000   |
      | -200   |

  Scenario: A reply with an encoded body is refused
    Given an upstream whose replies have an encoded body
    When an exchange is made
    Then it fails as garbled

  Scenario: A reply without a length ends with its connection
    Given an upstream whose reply without a length ends with its connection
    When an exchange is made
    Then it succeeds

  Scenario: A reply without a length that ends with a reset is refused
    The bytes received look like a complete reply. If it was forwarded, a caller would
    take half a record for the whole.

    Given an upstream whose reply without a length ends with a reset
    When an exchange is made
    Then it fails as lost

  Scenario: An idle connection that receives unexpected bytes is not reused
    They would be taken for the answer to the next request.

    Given an upstream that sends a second, unexpected reply
    When 2 exchanges are made, the second after the connection ended
    Then both succeed over 2 connections

  Scenario: A connection to an address without a listener fails
    Given an address where nothing listens
    When an exchange is made
    Then it fails as connect

  Scenario Outline: A connection attempt shows whether an upstream listens
    An upstream above its connection limit resets what it accepted. If it was taken for
    one that no longer listens, it would count as crashed by the request that was sent
    last.

    Given <upstream>
    When its listener is checked
    Then its listener is <listener>

    Examples:
      | upstream                                    | listener |
      | an upstream that replies correctly          | open     |
      | an upstream that resets each new connection | open     |
      | an address where nothing listens            | closed   |

  Scenario: A reset of a connection that never delivered a reply is reported as such
    Given an upstream that resets each new connection
    When an exchange is made
    Then it fails without a reply on a new connection

  Scenario: An upstream that refuses a request without running it says so
    Given an upstream that rejects requests as not run
    When an exchange is made
    Then it is reported as not run

  Scenario: A rejection that does not name its request is refused
    It may be a late one. A request that may run once would be sent to another upstream
    while this one runs it.

    Given an upstream that rejects requests without naming them
    When an exchange is made
    Then it fails as garbled
    And its connection is not reused

  Scenario: A late copy of a rejection does not answer the same request sent again
    Both have the same request id. The request would be taken for rejected again while
    the upstream runs it.

    Given an upstream that rejects a request twice, the second time late
    When a request is sent, and sent again after its rejection
    Then it is rejected and then served, over 2 connections

  Scenario Outline: Late copies of replies among requests that are sent again
    Given upstream replies that are repeated late at random, seed <seed>
    When many requests are each sent again after a rejection
    Then none ran twice, and none ran that was told not to have run

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A released attempt that is about to end is not cut
    A hedge won. The upstream spent 6 ms of a slot on setting up the losing attempt's
    connection, and cutting it would cost that again.

    Given an upstream that replies after 50 ms
    When an exchange is made and released at once
    And another exchange is made after it
    Then both succeed over 1 connection

  Scenario: An attempt withdrawn before it is sent is not sent
    Its caller was told that it did not run.

    Given an upstream that replies correctly
    When a withdrawn exchange is made
    Then it fails as unsent
    And no attempt was started

  Scenario: A released attempt that lasts is cut
    The caller disconnected. The upstream would work on for nobody.

    Given an upstream that never replies
    When an exchange is made and released at once
    Then it fails as silent
    And the upstream sees the connection end

  Scenario: The request head of a sweep is checked and serialized once
    Given the head of a request with a body of 3 bytes
    When it is serialized for upstreams u-1 and u-2
    Then the two differ only in the name of the upstream, and h11 reads both

  Scenario: A header value with a line break is refused
    An upstream chooses its own name. A name with a line break would inject a header, or
    a whole request, into what is sent to another upstream at its address.

    Given the head of a request with a body of 3 bytes
    When it is serialized for an upstream whose name contains a line break
    Then it is refused with an error that names the header
