Feature: Configuration changes are decided once and reach every entry host

  Scenario: Two concurrent changes on the same revision
    Two operators read the same revision and each applies a document. If both
    were accepted, one of them would silently overwrite the other's change.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    When two operators apply different documents on the same revision at once
    Then exactly one change is accepted and the refusal names the accepted one
    And the audit trail lists both

  Scenario: A change is resent after its reply was lost
    The reply to a change is lost, and then the control host that accepted it. The
    operator resends the change, which must neither be applied twice nor be
    refused as a conflict with itself.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    When change resent is applied and its reply is lost
    And the leader is lost and every other control host restarts
    Then a resend of change resent returns the first result
    And a different change under the id resent is refused

  Scenario Outline: A control host is silently partitioned from <others>
    The network drops every packet of one control host without closing a
    connection. Entry hosts that follow it would keep an outdated document, and the
    host could force a needless election when the partition heals.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    When a control host is silently partitioned from <others>
    And document 2 is applied at another control host
    Then every entry host has it in force within 8 seconds
    And the partitioned host reports an outdated state and a lost quorum
    When the partition heals
    Then the partitioned host catches up without a new election

    Examples:
      | others                  |
      | every host              |
      | the other control hosts |

  Scenario: The quorum is lost permanently
    Two of three control hosts lose their disks. No change can be accepted any
    more. Operators must see the cause, and must be able to recover without
    losing accepted changes.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    When all control hosts but one are permanently lost
    Then status and the refusal of a change report that the quorum is lost
    And entry hosts keep document 1 in force
    When the last control host is recovered
    And document 2 is applied at another control host
    Then every entry host has it in force within 4 seconds
    And a replaced control host joins it and has the same revision

  Scenario: The surviving control host had missed the last change
    The last document was accepted by the two control hosts that are lost, and
    entry hosts have it. If the survivor assigned its revision again, entry hosts
    would take the next document for the one they have and never apply it.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    And document 2 reached every host but control host c1
    When all control hosts but one are permanently lost
    And the last control host is recovered
    And document 3 is applied at another control host
    Then every entry host has it in force within 4 seconds

  Scenario: An entry host holds a different document than the next delta is based on
    After a recovery from a control host that had missed changes, an entry host
    may hold another document under the same revision. The next delta does not
    apply to it, and the entry host must not stay behind because of that.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    And entry host e1 holds a different document under the same revision
    When document 2 is applied at control host c1
    Then every entry host has it in force within 4 seconds

  Scenario: The leader is deposed while a change is in progress
    The control host that the operator calls forwards the change to the leader,
    which is deposed before the change is decided. The operator should not wait
    for a host that can no longer decide while another one can.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    When the leader is deposed while it decides a change forwarded by c2
    Then the change is still accepted within 2 seconds

  Scenario: A control host that lost its disk starts while it is partitioned
    Its service file passes --bootstrap, as at the first start. If it began a log
    whenever no peer answers, two logs would accept changes at the same time.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    When control host c1 is partitioned, loses its disk and starts with --bootstrap
    Then it begins no log and accepts no change
    When the network is restored
    Then control host c1 is a voter of the old log under a new identity

  Scenario: A control host is away until the entries it lacks are compacted
    The others have dropped the entries that it lacks. Without a snapshot instead,
    it could never catch up, and the next loss of a host would stop all changes.

    Given control hosts that keep 5 entries behind a snapshot
    When control host c3 is partitioned while 60 documents are applied
    And the network is restored
    Then control host c3 has the same revision from a snapshot

  Scenario: The audit trail is full
    At the target size the trail fills several times a day. It must stay bounded, yet
    an operator's resend must not be applied a second time.

    Given an audit trail that keeps 10 changes
    When 30 changes are made and the state is captured and restored
    Then the newest 10 of 30 are kept
    And a resend of change 25 returns its first result
    And a resend of change 3 is refused since its revision is taken

  Scenario: Random schedules over control and entry hosts
    Control hosts stop, start, lose their disks and are partitioned from all hosts
    or from each other, entry hosts restart, and operators send and resend changes
    through any control host. A reply may say that a change is not decided yet, but
    no change may ever get two different results.

    When 40 schedules over control and entry hosts run from seed 680
    Then each ended with one result for each change, in force on every entry host

  Scenario: The last zone stays in service
    An operator drains one zone after another. Without a guard the last zone would
    be drained too, and every query would be refused.

    Given an environment of 1 control hosts and entry hosts in a and b
    When an operator drains zone a
    Then the drain is accepted and every entry host has a as drained
    When an operator drains zone x
    Then the drain is refused as unknown_zone
    When an operator drains zone b
    Then the drain is refused as last_zone
    When an operator forces the drain of zone b
    Then the drain is accepted and every entry host has a and b as drained

  Scenario: An entry host starts while all control hosts are unreachable
    A partition separates it from all control hosts. An entry host that restarts
    meanwhile would refuse every caller until the partition heals.

    Given an environment of 3 control hosts and entry hosts in a and b
    And document 1 is in force everywhere
    When every control host is partitioned and a new entry host starts in a
    Then it starts from a peer at the same revision

  Scenario: The followed source has lost contact with the leader
    The control host or peer that an entry host follows still answers, but has
    itself lost contact with the leader, so its answers would never change.

    Given an entry host that may follow control hosts and peers
    When its source answers without contact with a leader for 4 seconds
    Then it asks another source next

  Scenario: Control hosts become reachable again
    While no control host answered, entry hosts followed each other. If they kept
    doing so, a change after the recovery would reach them late.

    Given an entry host that may follow control hosts and peers
    When no source has had contact with a leader for 4 seconds
    Then its next probes go to every control host, more often than before

  Scenario Outline: Applying a document takes <spent> s
    With very many subscribers each change costs a host a noticeable part of a
    core. If every change were applied on its own, callers would wait for it.

    Given an entry host that may follow control hosts and peers
    When it took <spent> seconds to apply the last change
    Then it asks again after <pause> seconds

    Examples:
      | spent | pause |
      | 0.001 | 0.1   |
      | 0.108 | 3.6   |
      | 2.0   | 10    |
