Feature: Hosts call each other over HTTP

  Scenario: A call is answered
    Given an HTTP peer server that echoes bodies
    When a host calls it over HTTP
    Then the HTTP call returns the body
    And 1 call is counted with more bytes than its bodies contain

  Scenario: A handler fails
    Given an HTTP peer server whose handler fails with quorum_lost
    When a host calls it over HTTP
    Then the HTTP call fails and names quorum_lost

  Scenario: A connection between hosts is silently dropped
    A device between two hosts drops the state of their connection; a new
    connection works. If the old one were kept, every later call would time out.

    Given an HTTP peer server that echoes bodies
    And a relay in front of the HTTP peer server
    When a host calls it over HTTP
    And the relay blackholes its open connections
    And a host calls it over HTTP
    Then the HTTP call fails and names no reply
    When a host calls it over HTTP
    Then the HTTP call returns the body

  Scenario: A host restarts between two calls
    Given an HTTP peer server that echoes bodies
    When a host calls it over HTTP
    And the HTTP peer server restarts
    And a host calls it over HTTP
    And a host calls it over HTTP
    Then the HTTP call returns the body

  Scenario: A handler is not cancelled when its HTTP caller times out
    A peer times out while the other host has written to disk but has not yet
    recorded the write in memory. If the handler were cancelled there, disk and
    memory would differ.

    Given an HTTP peer server whose handler ends two loop iterations after its caller left
    When a host calls it over HTTP and times out
    Then the handler still completed

  Scenario: A call is cancelled in the loop iteration in which its connection closes
    A host stops while its peers restart. If the closing of the connection hid the
    cancellation, the calling loop would continue and the host would never exit.

    Given an HTTP peer server whose handler ends two loop iterations after its caller left
    When a call is cancelled in the loop iteration in which its connection closes
    Then the HTTP call was cancelled

  Scenario: A call to a host that is not yet powered on
    The SYN packet is lost and retransmitted after a second. A host that waited
    for the retransmission would get its configuration a second late.

    Given an HTTP peer server that echoes bodies
    When a host calls it over HTTP for 10 s
    Then the call waited for a connection for at most 250 ms
