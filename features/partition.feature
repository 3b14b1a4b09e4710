Feature: Network partitions between availability zones

  Background:
    Given the zones "a b c" of three membership hosts each, started from seeds
    And 4 directory upstreams in each zone that announce to any host of it

  Scenario: A partition in both directions
    The links of one zone fail. Each side keeps serving its own upstreams, and no
    host may use upstreams of the other side, since it would not learn of their
    withdrawal.

    When zone "a" is cut off
    Then after 4 s hosts of zone "a" serve only upstreams of "a"
    And hosts of zone "b" serve only upstreams of "b c"
    And hosts of zone "a" count hosts of "a"
    And hosts of zone "b" count hosts of "b c"
    And over 120 s every host serves the upstreams of its own zone
    When the zones are joined again
    Then after 5 s every host serves all directory upstreams
    And every host knows the same
    And after the healing no host made more than 20 membership calls a second

  Scenario: A partition in one direction
    Messages from one zone are lost, those to it arrive. Its hosts must not take
    that for a working link: they still learn which upstreams leave in other
    zones, but the other zones learn nothing about theirs.

    When messages from zone "a" to the others are lost
    Then after 4 s hosts of zone "b" serve only upstreams of "b c"
    When the directory upstream "u-b0" withdraws at host "b2"
    Then after 4 s no host serves "u-b0"
    And over 20 s every host serves the upstreams of its own zone
    When the zones are joined again
    Then after 5 s every host knows the same

  Scenario: An upstream leaves during a long partition
    The partition lasts longer than tombstones are kept, and an upstream leaves
    permanently meanwhile. After the partition a host with its old record would
    send it work and spread the record to other hosts.

    Given tombstones are kept for 60 s and news of silent zones for 40 s
    When zone "a" is cut off
    And 10 s pass for membership
    And the directory upstream "u-b0" withdraws at host "b2"
    And 70 s pass for membership
    And the zones are joined again
    Then over 6 s no host ever serves "u-b0"
    And every host knows the same

  Scenario: A host restarts inside a partitioned zone
    Operators restart a host while its zone is partitioned. Its seeds in other
    zones are unreachable, so it must start from a peer of its own zone and must
    not take unreachable hosts for hosts that left.

    When zone "a" is cut off
    And 10 s pass for membership
    And membership host "a2" restarts
    Then after 3 s hosts of zone "a" serve only upstreams of "a"
    And over 5 s every host serves the upstreams of its own zone
    And hosts of zone "a" count hosts of "a"

  Scenario: A third zone relays between two partitioned zones
    Two zones are partitioned from each other, but both reach a third. What the
    third relays is as current as a direct message, so no upstream need be
    withheld.

    When zone "a" and zone "b" are cut off from each other
    Then over 20 s every host serves all directory upstreams
    When the directory upstream "u-b0" withdraws at host "b2"
    Then after 3 s no host serves "u-b0"

  Scenario: A single host is partitioned inside its own zone
    One host loses every link to its peers, while callers still reach it. It must
    soon stop using upstreams of which it gets no updates, and when the partition
    heals, its outdated state must not remove anything on the others.

    When host "a1" is cut off from all others
    And 20 s pass for membership
    And the directory upstream "u-a0" withdraws at host "a2"
    Then after 1 s no host serves "u-a0"
    When the zones are joined again
    Then over 10 s every host but "a1" serves all live directory upstreams
    And every host knows the same

  Scenario: A host resumes after a long suspension
    A host is suspended for hours and resumes with its old state. The others have
    dropped the tombstone of an upstream that left, and the resumed host's record
    of it must not bring it back.

    Given tombstones are kept for 60 s and news of silent zones for 40 s
    When membership host "a1" stands still while "u-b0" withdraws and 70 s pass
    Then over 6 s no host ever serves "u-b0"
    And every host knows the same

  Scenario: A zone is split
    One host of a zone keeps its links to the other zones. Its two peers lose
    theirs and receive a withdrawal that it cannot learn of. Its record alone must
    not make the other hosts send work to an upstream that left.

    When hosts "a2 a3" are cut off from all others
    And the directory upstream "u-a0" withdraws at host "a2"
    Then after 4.5 s only hosts "a2 a3" may know that "u-a0" left, and none serves it

  Scenario: Every host is partitioned from every other
    A faulty firewall rule drops all traffic between hosts for a while. Afterwards
    each waits for confirmation from another before it is certain of its own zone,
    which would be a deadlock unless one host confirms first.

    When every link between hosts is cut
    And 20 s pass for membership
    And the zones are joined again
    Then after 5 s every host serves all directory upstreams
    And every membership host takes all others for live

  Scenario: Connection limits hold during and after a partition
    The links between hosts fail while upstreams still reach hosts on both sides,
    so each side considers itself their owner. An upstream closes connections
    beyond its limit, and queries on them would fail.

    Given every directory upstream announces to hosts of all zones
    And each membership host keeps to its connection limits
    When zone "a" is cut off
    Then over 20 s connections stay within every cap
    When membership host "b1" dies
    Then over 15 s connections stay within every cap
    When membership host "b1" starts again with incarnation 3
    And the zones are joined again
    Then over 15 s connections stay within every cap
    And each directory upstream has one owner that may connect
