Feature: All hosts together stay within an upstream's connection limit

  Scenario: Hosts join, leave, lose contact and disagree on who is live
    An upstream accepts 25 connections and closes the 26th. Hosts learn of
    membership changes at different times, and zones are partitioned from each
    other but not from the upstream. If a host used its larger share before the
    others had released theirs, queries would fail on refused connections.

    Given a connection state machine of 9 hosts that learn of changes late
    Then the connection state machine never counts more than 25

  Scenario: The new owner of an upstream can use it immediately
    The owner's machine is lost. The upstream has free slots, so the next owner
    must be able to use them immediately, long before the hold-down ends.

    Given a connection limit of a host that becomes the owner of an upstream
    Then its connection limit is 2 at first and 4 after the hold-down
