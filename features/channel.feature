Feature: Connections to upstreams

  Scenario: A reply of another request never becomes an answer
    Replies get mixed up on the way, by a proxy or a fault in an upstream. A
    user would see rows that belong to somebody else's search.

    Given a channel to an upstream that mixes up its replies
    When 1 sub-request is dispatched on the channel
    Then the channel reports mismatch with not_run false 1 time
    And the channel has closed the connection

  Scenario Outline: Only what surely did not run is reported as not run
    An upstream refuses, fails or cannot be reached. Whoever takes a request
    that ran for one that did not sends it again, and a client is billed twice.

    Given a channel to an upstream that <behaves>
    When 1 sub-request is dispatched on the channel
    Then the channel reports <reason> with not_run <not_run> 1 time

    Examples:
      | behaves                   | reason        | not_run |
      | refuses without running   | overloaded    | true    |
      | lacks the snapshot        | wrong_version | true    |
      | says 503 and nothing more | status        | false   |
      | says 500 and not run      | status        | false   |
      | resets in mid-request     | reset         | false   |
      | is not there              | connect       | true    |
      | sends no JSON             | status        | false   |

  Scenario: The cap on connections holds and all are answered
    An upstream takes few connections and each new one costs it milliseconds. A
    host that opens one more under load is refused, just when it matters.

    Given a channel to an upstream that answers
    When 40 sub-requests are dispatched on the channel
    Then every sub-request of the channel is answered once
    And the upstream never saw more than 3 connections

  Scenario: Connections that go silent are given up and replaced
    A firewall forgets open connections while new ones work. Without a bound the
    host keeps sending into them, and search after search waits for its deadline.

    Given a channel to an upstream that answers
    And the channel has 3 idle connections
    When these connections go silent
    And 3 sub-requests are dispatched on the channel
    Then the channel reports stalled with not_run false at least 1 time
    And the next 6 sub-requests on the channel are answered

  Scenario: A cancelled sub-request ends at once and its reply is thrown away
    A hedge wins and the slower attempt is cancelled. Its late reply must not
    turn up as the answer to the next request on that connection.

    Given a channel to an upstream that waits before it answers
    When a sub-request is dispatched on the channel and cancelled
    Then the channel reports cancelled with not_run false 1 time
    And the next 2 sub-requests on the channel are answered
