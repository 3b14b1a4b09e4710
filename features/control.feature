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

  Scenario Outline: A control host is silently cut off from <others>
    Something between the hosts drops every packet of one control host, and no
    connection breaks. Entry hosts that follow it would go on with an old
    document, and at its return it could disturb the others.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    When a control host is silently cut off from <others>
    And document 2 is applied at another control host
    Then every entry host has it in force within 8 seconds
    And the cut-off host calls its own state outdated and its quorum lost
    When the cut-off host comes back
    Then it catches up without a new election

    Examples:
      | others                  |
      | every host              |
      | the other control hosts |

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
    Then every entry host has it in force within 4 seconds
    And a replaced control host joins it and has the same revision

  Scenario: The control host that is left had missed the last change
    The last document was accepted by the two control hosts that are lost. Entry
    hosts have it. Would the survivor give out its number again, they would take
    the next document for the one they have, and stay on the old one for good.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    And document 2 reached every host but control host c1
    When all control hosts but one are lost for good
    And the last control host is recovered
    And document 3 is applied at another control host
    Then every entry host has it in force within 4 seconds

  Scenario: An entry host holds other bytes than the next change is based on
    After a recovery of control from a host that had missed changes, an entry host
    may hold another document under a revision. The next change does not fit on
    it, and it must not stay behind for that.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    And entry host e1 holds other bytes under the same revision
    When document 2 is applied at control host c1
    Then every entry host has it in force within 4 seconds

  Scenario: The leader loses the lead with an operator's change in its hands
    The control host that the operator calls hands the change to the leader, which
    is deposed before the change is decided. The operator should not wait for a
    host that cannot decide any more while another one can.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    When the leader is deposed while it decides a change that came through c2
    Then the change is accepted within 2 seconds all the same

  Scenario: A control host that lost its disk starts while it is cut off
    Its service file tells it to begin a log, as on the first day. Would it do so
    whenever nobody answers, two logs would take changes side by side.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    When control host c1 is cut off, loses its disk and starts with --bootstrap
    Then it begins no log and takes no change
    When the network is whole again
    Then control host c1 is a voter of the old log under a new identity

  Scenario: A control host is away for longer than the log reaches back
    The others have dropped the entries that it lacks. Without a snapshot in their
    place it could never catch up, so the next loss would stop all changes.

    Given control hosts that keep 5 entries behind a snapshot
    When control host c3 is cut off while 60 documents are applied
    And the network is whole again
    Then control host c3 has the same revision from a snapshot

  Scenario: The audit trail is full
    At the target size the trail fills several times a day. It has to stay bounded
    without an operator's resend being applied a second time.

    Given an audit trail that keeps 10 changes
    When 30 changes are made and the state is captured and restored
    Then the newest 10 of 30 are kept
    And a resend of change 25 returns its first result
    And a resend of change 3 is refused since its revision is taken

  Scenario: Random schedules over whole hosts
    Control hosts stop, start, lose their disks and are cut off from all or from
    each other, entry hosts restart, and operators send changes and send them
    again, through any host. What operators hear may be that a change is not decided
    yet, but never two different results.

    When 40 schedules over control and entry hosts run from seed 680
    Then each ended with one result for each change, in force on every entry host

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

  Scenario: A source has lost touch with the leader
    The control host or peer that an entry host follows still answers, but has
    itself heard nothing for a while; its answers would stay the same for ever.

    Given an entry host that may follow control hosts and peers
    When its source answers without having heard of a leader for 4 seconds
    Then it asks another source next

  Scenario: Control was lost and comes back
    While no control host answered, entry hosts followed each other. Were they to
    stay among themselves, a change after the repair would be long in coming.

    Given an entry host that may follow control hosts and peers
    When no source has heard of a leader for 4 seconds
    Then its next probes go to every control host, more often than before

  Scenario Outline: A document takes <spent> s to put in force
    With very many subscribers each change costs a host a noticeable part of a
    core. Were every change put in force by itself, callers would wait for it.

    Given an entry host that may follow control hosts and peers
    When it took <spent> seconds to put the last change in force
    Then it asks again after <pause> seconds

    Examples:
      | spent | pause |
      | 0.001 | 0.1   |
      | 0.108 | 3.6   |
      | 2.0   | 10    |
