Feature: Hosts call each other over HTTP

  Scenario: A call is answered
    Given an HTTP peer server that echoes bodies
    When a host calls it over HTTP
    Then the HTTP call returns the body
    And 1 call is counted with more bytes than its bodies have

  Scenario: A handler fails
    Given an HTTP peer server whose handler fails with quorum_lost
    When a host calls it over HTTP
    Then the HTTP call fails and tells quorum_lost

  Scenario: A connection between hosts falls silent
    Something between two hosts loses track of their connection; a new one works.
    Were the old one kept, every later call would time out.

    Given an HTTP peer server that echoes bodies
    And a relay in front of the HTTP peer server
    When a host calls it over HTTP
    And the relay loses track of its connections
    And a host calls it over HTTP
    Then the HTTP call fails and tells no reply
    When a host calls it over HTTP
    Then the HTTP call returns the body

  Scenario: A host restarts between two calls
    Given an HTTP peer server that echoes bodies
    When a host calls it over HTTP
    And the HTTP peer server restarts
    And a host calls it over HTTP
    And a host calls it over HTTP
    Then the HTTP call returns the body

  Scenario: A handler outlives the patience of an HTTP caller
    A peer gives up while the other host is between writing to disk and noting
    the write in memory. Were the handler cut off there, the two would differ.

    Given an HTTP peer server whose handler needs two turns after its caller left
    When a host calls it over HTTP and gives up
    Then the handler still ran to its end

  Scenario: A call is cancelled in the turn in which its connection ends
    A host stops while its peers restart. Where the end of the connection wins over
    the cancellation, the loop that calls goes on and the host never exits.

    Given an HTTP peer server whose handler needs two turns after its caller left
    When a call is cancelled in the turn in which its connection ends
    Then the HTTP call was cancelled

  Scenario: A host is called that has no power yet
    The packet that opens the connection is lost and sent again after a second. A
    host that waited for it would learn its configuration a second late.

    Given an HTTP peer server that echoes bodies
    When a host calls it over HTTP for 10 s
    Then the call waited for a connection for at most 250 ms
