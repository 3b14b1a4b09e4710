Feature: A host that is stopped cuts no request

  Scenario: SIGTERM under load
    Guards against requests that are passed on so late that the drain ends before
    their upstream answers.

    When entry hosts are stopped under load by these signals
      | signals   | clients |
      | SIGTERM 0 | 150     |
    Then every request that was passed on got a response
    And requests that arrived after the signal were answered
    And each host ended within its grace period with exit code 0 and none left

  Scenario: SIGTERM is repeated
    Guards against a drain that is aborted by a supervisor's second SIGTERM.

    When entry hosts are stopped under load by these signals
      | signals                | clients |
      | SIGTERM 0, SIGTERM 0.3 | 40      |
      | SIGTERM 0, SIGTERM 1   | 40      |
      | SIGTERM 0, SIGTERM 3   | 40      |
      | SIGTERM 0, SIGTERM 4.5 | 40      |
    Then every request that was passed on got a response
    And requests that arrived after the signal were answered
    And each host ended within its grace period with exit code 0 and none left

  Scenario: SIGTERM is mixed with other signals
    Guards against a drain that is aborted or prolonged by a signal of another kind.

    When entry hosts are stopped under load by these signals
      | signals                            | clients |
      | SIGTERM 0, SIGINT 0.5              | 40      |
      | SIGINT 0, SIGTERM 1                | 40      |
      | SIGTERM 0, SIGHUP 0.2, SIGHUP 1    | 40      |
      | SIGHUP 0, SIGTERM 0.1, SIGHUP 0.15 | 40      |
    Then every request that was passed on got a response
    And requests that arrived after the signal were answered
    And each host ended within its grace period with exit code 0 and none left

  Scenario: Pipelined requests are waiting when the stop begins
    Guards against requests that were received whole and are dropped behind the
    response that closes their connection.

    When an entry host is stopped while pipelined requests wait
    Then every request that was passed on got a response
    And each host ended within its grace period with exit code 0 and none left

  Scenario: Clients half-close their connections during a stop
    Guards against a connection that is closed without a response because its client
    has sent EOF.

    When an entry host is stopped while clients half-close their connections
    Then every request that was passed on got a response
    And each host ended within its grace period with exit code 0 and none left

  Scenario: Responses are read slowly and connections linger at the end of a stop
    Guards against connections without an unanswered request that count as cut, and
    against responses that are cut while their clients read them.

    When an entry host is stopped while clients read slowly and hold connections
    Then every request that was passed on got a response
    And each host ended within its grace period with exit code 0 and none left

  Scenario: Two entry hosts are stopped at once
    Guards against requests that are cut because two of three hosts stop together.

    When 2 of 3 entry hosts are stopped at once under load
    Then every request that was passed on got a response
    And requests that arrived after the signal were answered
    And each host ended within its grace period with exit code 0 and none left

  Scenario: Upstreams are silent during a stop
    Guards against requests that end without a response because their upstream does
    not answer before the drain ends.

    When an entry host is stopped while upstreams do not answer
    Then every request that was passed on got a response
    And each host ended within its grace period with exit code 0 and none left

  Scenario: A host that runs attempts of another host's sweeps is stopped
    Guards against sweeps that lack parts, or end without a response, because the host
    to which their attempts were delegated stops.

    When an entry host is stopped while others delegate attempts of sweeps to it
    Then every sweep got a response with all its parts
    And each host ended within its grace period with exit code 0 and none left

  Scenario: A control host is stopped while changes and announcements arrive
    Guards against changes that a control host has read and leaves unanswered.

    When a control host is stopped while changes and announcements arrive
    Then every request that was passed on got a response
    And each host ended within its grace period with exit code 0 and none left

  Scenario: A control host without a majority is stopped while orders arrive
    Guards against changes that can't be acknowledged and end without a response.

    When a control host without a majority is stopped while orders arrive
    Then every request that was passed on got a response
    And each host ended within its grace period with exit code 0 and none left

  Scenario: The processor is busy during a stop
    Guards against a drain that has no time left to answer because other processes
    use the processor.

    When an entry host is stopped while its processor is busy
    Then every request that was passed on got a response
    And requests that arrived after the signal were answered
    And each host ended within its grace period with exit code 0 and none left

  Scenario Outline: Searches outlast the drain of a host of the product's own interface
    Guards against a search that ends with a closed connection at the end of the
    drain, though there is time to answer it with an error.

    When an entry host is stopped while searches outlast its drain, over <kind>
    Then every request that was passed on got a response
    And each host ended within its grace period with exit code 0 and none left

    Examples: kinds of connections
      | kind |
      | TCP  |
      | TLS  |

  Scenario Outline: A host of the product's own interface is stopped under load
    Guards against responses that are cut while their connections are closed.

    When an entry host is stopped while clients search over <kind>
    Then every request that was passed on got a response
    And each host ended within its grace period with exit code 0 and none left

    Examples: kinds of connections
      | kind |
      | TCP  |
      | TLS  |
