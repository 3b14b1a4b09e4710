Feature: Hosts call each other over gRPC

  Scenario: A caller with another token is refused
    A host of a test environment is configured with a production address by
    mistake. If its calls were accepted, its upstreams would appear in
    production.

    Given a peer server that expects the token "right" and echoes bodies
    When a peer calls it with the token "wrong"
    Then the peer call ends with "peer_rejected"
    When a peer calls it with the token "right"
    Then the peer call returns the body

  Scenario: A silently dropped connection is replaced
    A device between two hosts drops the state of their connection: bytes are
    lost and no reset arrives, while a new connection works. Unless it is
    replaced, every later call on it would time out and the peer would be
    declared dead.

    Given a peer server that expects the token "right" and echoes bodies
    And a relay in front of the peer server
    When a peer calls through the relay with the token "right"
    Then the peer call returns the body
    When the relay drops traffic on its open connections without closing them
    And a peer calls through the relay with the token "right"
    Then the peer call ends with "peer_failed"
    When a peer calls through the relay with the token "right"
    Then the peer call returns the body

  Scenario: A handler is not cancelled when its caller times out
    A peer times out while the other host has written to disk but has not yet
    recorded the write in memory. If the handler were cancelled there, disk and
    memory would differ.

    Given a peer server whose handler ends two loop iterations after its caller left
    When a peer calls it and times out
    Then the peer handler still completed

  Scenario: A port in use is refused with a setting error
    Two daemons are started with the same address. If both could bind it, each
    would get half of the other's calls.

    Given a peer server that expects the token "right" and echoes bodies
    When a second peer server starts on the same address
    Then the peer call ends with "invalid_setting"

  Scenario: With TLS between hosts, only peers with a trusted certificate are accepted
    The shared token leaks and is used by a machine that is not one of the hosts.
    Unless TLS refuses it, it could withdraw upstreams and receive queries.

    Given a peer server with TLS that echoes bodies
    When peers call with a trusted certificate, with an untrusted one and without TLS
    Then only the peer with the trusted certificate gets the body

  Scenario: A host with wrong TLS files does not start
    An operator swaps two files. The host would start but reach no peer, which
    looks like a network fault.

    Given TLS files for hosts, with a key of another host
    When an entry and a control host start with wrong TLS files
    Then each exits 2 with a one-line error that names the setting

  Scenario: An entry host replaces silently dropped connections to a control host
    A firewall between an entry host and a control host loses its connection
    table. Unless the host reconnected, it would keep an old document, and
    operators would wait for it to apply the new one.

    Given an entry host that reaches its control host through a relay
    When its connections to the control host are blackholed after document 1
    Then the entry host still applies document 2 and reports it

  Scenario Outline: A host with a non-loopback address does not start without a token
    An operator forgets the peer token. Anybody who reaches the port could
    announce hosts and upstreams, or vote, and callers would get rows from an
    unauthorized machine.

    When <command> is started without a peer token on <address>
    Then it does not start and names the <setting> in a one-line error

    Examples:
      | command | address        | setting      |
      | entry   | 192.0.2.1:7301 | peer token   |
      | control | 192.0.2.1:7301 | peer token   |
      | entry   | 0.0.0.0:7301   | peer address |
