Feature: Replies without end are bounded in time and memory

  Scenario Outline: An upstream that sends without end loses its connection
    The host kept the connection, or the bytes, for as long as the upstream sent.

    Given an upstream that sends <what> without end
    When an exchange with 500 ms left is made, which <release> when they are over
    Then the upstream sees its connection closed within 3 seconds

    Examples: replies
      | what                              | release                     |
      | a header line                     | may be cancelled            |
      | header lines                      | may be cancelled            |
      | interim responses                 | may be cancelled            |
      | interim responses                 | must not be cancelled early |
      | a body in chunks                  | may be cancelled            |
      | a body in chunks of one byte      | must not be cancelled early |
      | a body without a length           | may be cancelled            |
      | a body of a great length          | must not be cancelled early |
      | trailers                          | may be cancelled            |
      | a byte of a body each 50 ms       | must not be cancelled early |
      | a byte of a header each 50 ms     | must not be cancelled early |

  Scenario: Many replies without end fit into the memory of a small host
    Each of them alone is within the limit of one reply.

    Given an upstream that sends a body in chunks without end
    When 24 exchanges with 5000 ms left are made at the same time
    Then the host holds at most 100 MB for them
    And the upstream sees its connection closed within 10 seconds

  Scenario: Small replies are received without large buffers
    Each read allocated 256 KiB, which took a host longer than the rest of the read, and
    the answers of sweeps over many shards were late for it.

    Given a server and a client that have exchanged a message
    When 20 more small messages are exchanged
    Then no buffer above 100 KB was allocated

  Scenario: Event loops of several threads receive their own messages
    Programs that use the client in several threads must not get bytes of one another.

    Given 4 threads with a server and a client each
    When each exchanges 400 messages that only it sends
    Then each got its own messages back
