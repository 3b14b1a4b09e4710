Feature: Exchanges of bytes with upstreams

  Scenario: A whole reply with the request's id and a signature counts
    Given an upstream that replies well
    When 2 exchanges are made one after the other
    Then both succeed over 1 connection

  Scenario: A reply to another request
    An upstream answers late, on a connection that carries the next request by
    then. Its caller would get another caller's record.

    Given an upstream that echoes another request's id
    When an exchange is made
    Then it fails as garbled
    And its connection is not used again

  Scenario: A success without a signature
    Something that is not the upstream answers at its address.

    Given an upstream that signs nothing
    When an exchange is made
    Then it fails as garbled

  Scenario: A body that was encoded on the way
    Given an upstream whose replies are encoded
    When an exchange is made
    Then it fails as garbled

  Scenario: A reply without a length ends with its connection
    Given an upstream whose reply ends with its connection
    When an exchange is made
    Then it succeeds

  Scenario: A reply without a length is cut off by a reset
    The bytes that came look like a whole reply. Passed on, a caller would take
    half a record for all of it.

    Given an upstream whose reply without a length is cut off by a reset
    When an exchange is made
    Then it fails as lost

  Scenario: Bytes that nobody asked for come on an idle connection
    The next request would be answered with them.

    Given an upstream that sends a second reply a little later
    When 2 exchanges are made with a pause between them
    Then both succeed over 2 connections

  Scenario: Nothing listens
    Given an address where nothing listens
    When an exchange is made
    Then it fails as connect

  Scenario Outline: What an attempt to connect shows of an upstream
    One that is over its cap resets what it accepted. Taken for one that no longer
    listens, it would count as crashed by the request that was sent last.

    Given <upstream>
    When it is looked at whether it listens
    Then its listener is <listener>

    Examples:
      | upstream                                    | listener |
      | an upstream that replies well               | open     |
      | an upstream that resets each new connection | open     |
      | an address where nothing listens            | closed   |

  Scenario: An upstream resets a connection that has brought no reply
    Given an upstream that resets each new connection
    When an exchange is made
    Then it fails without a reply over a fresh connection

  Scenario: An upstream that refuses without running
    Given an upstream that is full
    When an exchange is made
    Then it is told not to have run

  Scenario: Nobody waits for an attempt that soon ends by itself
    A hedge won. The loser's connection took the upstream 6 ms of a slot to set
    up, and cutting it would cost that again.

    Given an upstream that replies after 50 ms
    When an exchange is made and released at once
    And another exchange is made after it
    Then both succeed over 1 connection

  Scenario: An attempt is withdrawn before it is sent
    Its caller was promised that it did not run.

    Given an upstream that replies well
    When an exchange that was withdrawn is made
    Then it fails as unsent
    And nothing was started

  Scenario: Nobody waits for an attempt that lasts
    The caller left. The upstream would work on for nobody.

    Given an upstream that never replies
    When an exchange is made and released at once
    Then it fails as silent
    And the upstream sees the connection end

  Scenario: The head of a sweep is checked and written once
    Given the head of a request with a body of 3 bytes
    When it is written for upstreams u-1 and u-2
    Then the two differ in the name of the upstream alone, and h11 reads both

  Scenario: A header of one upstream might end the head
    An upstream tells its own name. One with a line break would smuggle a header, or a
    whole request, to another upstream at its address.

    Given the head of a request with a body of 3 bytes
    When it is written for an upstream whose name holds a line break
    Then it is refused, naming the header
