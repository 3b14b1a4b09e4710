Feature: Operators' changes are decided once and reach every entry host

  Scenario: Two changes on the same revision
    Two operators look at the same revision and each applies a document. If both
    were accepted, one of them would overwrite the other's change unseen.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    When two operators apply different documents on the same revision at once
    Then exactly one of them is accepted and the other hears who won
    And the audit trail shows both

  Scenario: A change is sent again after its reply was lost
    The reply to a change gets lost, and then the control host that took it. The
    operator sends the change again and must neither apply it twice nor hear a
    conflict with itself.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    When change resent is applied and its reply is lost
    And the leader is lost and every other control host restarts
    Then a resend of change resent returns the first result
    And a different change under the id resent is refused

  Scenario: A control host is silently cut off
    Something between the hosts drops every packet of one control host, and no
    connection breaks. Entry hosts that follow it would go on with an old
    document, and at its return it could disturb the others.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    When a control host is silently cut off
    And document 2 is applied at another control host
    Then every entry host has it in force within 8 seconds
    And the cut-off host calls its own state outdated and its quorum lost
    When the cut-off host comes back
    Then it catches up without a new election

  Scenario: The quorum is lost for good
    Two of three control hosts lose their disks. Nothing can be accepted any
    more, and an operator has to see that plainly and find a way back without
    losing what was accepted.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    When all control hosts but one are lost for good
    Then status says that the quorum is lost and a change is refused as such
    And entry hosts go on with document 1
    When the last control host is recovered
    And document 2 is applied at another control host
    Then every entry host has it in force within 8 seconds
    And a replaced control host joins it and has the same revision

  Scenario: The last zone is kept in service
    An operator drains one zone after another. Without a guard the last one
    would go too, and every query would be refused.

    Given an environment of 1 control hosts and entry hosts in a and b
    When an operator drains zone a
    Then the drain is accepted and every entry host knows a as drained
    When an operator drains zone x
    Then the drain is refused as unknown_zone
    When an operator drains zone b
    Then the drain is refused as last_zone
    When an operator drains by force zone b
    Then the drain is accepted and every entry host knows a and b as drained

  Scenario: An entry host starts while control is out of reach
    A partition hides all control hosts. An entry host that restarts meanwhile
    would refuse every caller for as long as the partition lasts.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    When every control host is cut off and a new entry host starts in a
    Then it starts from a peer at the same revision
