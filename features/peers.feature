Feature: Hosts call each other over gRPC

  Scenario: A caller with another token is refused
    A host of the trial environment is pointed at a production address by
    mistake. Were its calls taken, its upstreams would show up in production.

    Given a peer server that expects the token "right" and echoes bodies
    When a peer calls it with the token "wrong"
    Then the peer call ends with "peer_rejected"
    When a peer calls it with the token "right"
    Then the peer call returns the body

  Scenario: A connection that fell silent is replaced
    Something between two hosts loses track of their connection: bytes vanish,
    no reset arrives, while a new connection works. Without a replacement every
    later call on it would time out and the peer would be taken for dead.

    Given a peer server that expects the token "right" and echoes bodies
    And a relay in front of the peer server
    When a peer calls through the relay with the token "right"
    Then the peer call returns the body
    When the relay forgets its open connections without closing them
    And a peer calls through the relay with the token "right"
    Then the peer call ends with "peer_failed"
    When a peer calls through the relay with the token "right"
    Then the peer call returns the body

  Scenario: A handler outlives its caller's patience
    A peer gives up while the other host is between writing to disk and noting
    the write in memory. Were the handler cut off there, the two would differ.

    Given a peer server whose handler needs two turns after its caller left
    When a peer calls it and gives up
    Then the peer handler still ran to its end

  Scenario: A port in use is refused by name
    Two daemons are started with one address. If both could bind it, each would
    get half of the other's calls.

    Given a peer server that expects the token "right" and echoes bodies
    When a second peer server starts on the same address
    Then the peer call ends with "invalid_setting"

  Scenario: With TLS between hosts, only certificates of ours get through
    The shared token leaks, and a machine that is no host of ours shows it. It
    could withdraw upstreams and take in queries unless TLS keeps it out.

    Given a peer server with TLS that echoes bodies
    When peers call with our certificate, with another authority's and without TLS
    Then only the peer with our certificate gets the body

  Scenario: Wrong files for TLS between hosts stop the start
    An operator swaps two files. The host would come up and reach nobody, which
    looks like a fault of the network.

    Given files of certificates for hosts, with a key of another host
    When an entry and a control host start with files that are wrong
    Then each exits 2 with one line of error that names the setting

  Scenario: An entry host whose connections to control fall silent follows again
    A firewall between an entry host and a control host forgets its table. The
    host would go on with an old document, and operators would wait for it.

    Given an entry host that reaches its control host through a relay
    When its connections to the control host fall silent after document 1
    Then the entry host still puts document 2 in force and says so

  Scenario Outline: A host beyond loopback does not start without a secret
    An operator forgets the peers' token. Whoever reaches the port could announce
    hosts and upstreams, or vote, and callers would get a stranger's rows.

    When <command> is started without a peer token on <address>
    Then it does not start and names the <setting> in one line

    Examples:
      | command | address        | setting      |
      | entry   | 192.0.2.1:7301 | peer token   |
      | control | 192.0.2.1:7301 | peer token   |
      | entry   | 0.0.0.0:7301   | peer address |
