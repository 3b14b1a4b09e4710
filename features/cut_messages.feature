Feature: A message that is cut is never taken for a complete one

  Scenario Outline: A reply with <framing> is cut at any byte and its connection is <end>, <use>
    Callers were answered 200 with an empty or short body that looked complete, as the
    upstream stopped within the head of its reply.

    Given an upstream whose replies have <framing>, are cut at any byte and <end>
    When an exchange is made for each byte, on a connection that is <use>
    Then only complete replies are passed on

    Examples:
      | framing      | end    | use              |
      | a length     | closed | new              |
      | a length     | reset  | new              |
      | a length     | closed | used once before |
      | a length     | reset  | used once before |
      | chunks       | closed | new              |
      | chunks       | reset  | new              |
      | chunks       | closed | used once before |
      | chunks       | reset  | used once before |
      | no length    | closed | new              |
      | no length    | reset  | new              |
      | no length    | closed | used once before |
      | no length    | reset  | used once before |

  Scenario Outline: A reply that is cut within <place> is followed by <reply> on the same connection
    The header that was cut takes in the status line of the second reply, and the two
    heads become one. The caller would get two signatures, or a failure as a success.

    Given an upstream whose reply is cut within <place> and followed by <reply>
    When an exchange is made with it
    Then no reply is passed on

    Examples:
      | place                        | reply              |
      | the value of the signature   | a complete success |
      | a header after the signature | a complete success |
      | a header without meaning     | a signed failure   |

  Scenario: The reply of another host is cut at any byte
    Given a server whose reply is cut at any byte
    When a host calls it for each byte
    Then each call fails

  Scenario Outline: A request is cut at any byte and its connection is <end>
    Given a server and a request that is cut at any byte
    When each part of it is sent and the connection is <end>
    Then the server handles none of them

    Examples:
      | end         |
      | closed      |
      | half-closed |
      | reset       |

  Scenario Outline: Upstreams cut replies at random: <route>
    The entry host retries, asks helpers and answers with what it has. No client may get
    a success whose body or parts are not those of the upstreams.

    Given upstreams of the platform that cut one of 3 replies at random, seed <seed>
    When 300 clients send <route>
    Then each success is complete and names upstreams that replied completely
    And replies were cut in the status line, the headers and the body

    Examples:
      | route             | seed |
      | sweeps            | 1    |
      | sweeps            | 2    |
      | single requests   | 3    |

  Scenario: A helper gathers parts that are cut at any byte
    Given a helper whose upstreams cut their replies at any byte
    When each of them is delegated to it
    Then it reports no part
