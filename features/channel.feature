Feature: Connections to upstreams

  Scenario: A reply to another request is rejected
    A proxy or a faulty upstream mixes up replies. A user would see the rows of
    another user's search.

    Given a channel to an upstream that mixes up its replies
    When 1 sub-request is dispatched on the channel
    Then the channel reports mismatch with not_run false 1 time
    And the channel has closed the connection

  Scenario Outline: A sub-request is reported as not run only if that is certain
    An upstream refuses, fails or cannot be reached. If a request that ran were
    reported as not run, it would be retried and the client billed twice.

    Given a channel to an upstream that <behaves>
    When 1 sub-request is dispatched on the channel
    Then the channel reports <reason> with not_run <not_run> 1 time

    Examples:
      | behaves                   | reason        | not_run |
      | refuses without running   | overloaded    | true    |
      | lacks the snapshot        | wrong_version | true    |
      | sends a bare 503          | status        | false   |
      | sends 500 and Not-Run     | status        | false   |
      | resets in mid-request     | reset         | false   |
      | is not there              | connect       | true    |
      | sends no JSON             | status        | false   |

  Scenario: The connection limit holds and all sub-requests are answered
    An upstream accepts few connections, and each new one costs it milliseconds.
    A host that opened more under load would be refused when it needs the
    upstream most.

    Given a channel to an upstream that answers
    When 40 sub-requests are dispatched on the channel
    Then every sub-request of the channel is answered once
    And the upstream never saw more than 3 connections

  Scenario: Stalled connections are closed and replaced
    A firewall drops the state of open connections while new ones work. Without a
    stall timeout the host would keep using them, and each search would wait
    until its deadline.

    Given a channel to an upstream that answers
    And the channel has 3 idle connections
    When these connections stop carrying data
    And 3 sub-requests are dispatched on the channel
    Then the channel reports stalled with not_run false at least 1 time
    And the next 6 sub-requests on the channel are answered

  Scenario: A cancelled sub-request ends at once and its reply is discarded
    A hedge wins and the slower attempt is cancelled. Its late reply must not
    be returned as the answer to the next request on that connection.

    Given a channel to an upstream that waits before it answers
    When a sub-request is dispatched on the channel and cancelled
    Then the channel reports cancelled with not_run false 1 time
    And the next 2 sub-requests on the channel are answered
