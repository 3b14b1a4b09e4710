Feature: Closed connections tell control hosts that an entry host has ended

  Scenario: A host that closed its connection serves no further requests
    They were assumed, beside those of its callers at other hosts, and requests of the
    team within its limit were refused there.
    Given two control hosts, the first with reports of 2 hosts with 100 requests each
    When host h0 closes its connection and 3 seconds pass
    Then the first counts 45 requests at most for host h0
    And the second counts 45 requests at most for host h0

  Scenario: A host that reports again after its connection was reset is counted in full
    Given two control hosts, the first with reports of 2 hosts with 100 requests each
    When host h0 closes its connection and reports on another
    Then the first counts 100 requests at least for host h0
    And the second counts 100 requests at least for host h0

  Scenario: A host that reported again after a reset may be cut off later
    Given two control hosts, the first with reports of 2 hosts with 100 requests each
    When host h0 closes its connection and reports on another
    And that host is cut off for 3 seconds
    Then the first counts 90 requests at least for host h0
    And the second counts 90 requests at least for host h0

  Scenario: The end of an earlier connection says nothing about its host
    Given two control hosts, the first with reports of 2 hosts with 100 requests each
    When host h0 reports on another connection and closes the first
    Then the first counts 100 requests at least for host h0

  Scenario: Hosts that close their connections together are cut off in one direction
    Their calls time out, so that they close connections, and they go on admitting.
    Given two control hosts, the first with reports of 30 hosts with 100 requests each
    When hosts h0 to h9 close their connections and 3 seconds pass
    Then the first counts 90 requests at least for host h0
    And the second counts 90 requests at least for host h0

  Scenario: Connections are remembered for no longer than reports
    Given two control hosts, the first with reports of 30 hosts with 100 requests each
    When no host reports for 6 seconds
    Then the first remembers no connection

  Scenario Outline: A peer server tells who closed a connection
    A host whose connection the server closes may go on.
    Given an HTTP peer server and a client that has called it
    When <end>
    Then the server reports <connections> connections that were closed by the client

    Examples:
      | end                          | connections |
      | the client closes            | 1           |
      | the client resets            | 1           |
      | the server closes            | 0           |
      | the server asks it to close  | 0           |

  Scenario: An entry host that stops is logged as ended by a control host
    Given two entry hosts and three control hosts on loopback, with usage caps
    When a team sends 40 requests at the first entry host, of 30 that its limit has
    And it sends 40 more at the second entry host a second later
    And the second entry host closes
    Then a control host logs that the second entry host has ended

  Scenario: Callers of an entry host that ended are not refused elsewhere
    The other host took it to go on serving, and refused its callers within the limit.
    Given two entry hosts and three control hosts on loopback, with usage caps
    When a team sends 5 requests a second, of 6 that it may, and one of two hosts ends
    Then none of its requests was refused
