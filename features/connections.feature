Feature: All hosts together stay within an upstream's connection cap

  Scenario: Hosts join, leave, fall silent and disagree on who is live
    An upstream takes 25 connections and closes the 26th. Hosts hear of each
    other's coming and going at different times, and zones are cut off from each
    other but not from the upstream. If a host took its larger share before the
    others gave up theirs, queries would fail on refused connections.

    Given a connection state machine of 9 hosts that hear of changes late
    Then the connection state machine never counts more than 25

  Scenario: The new owner of an upstream is not kept waiting
    The owner's machine is lost. The upstream has slots free, so the next owner
    must be able to use them at once, long before the hold-down is over.

    Given a connection limit of a host that becomes the owner of an upstream
    Then its connection limit is 2 at first and 4 after the hold-down
