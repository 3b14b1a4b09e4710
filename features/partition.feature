Feature: Availability zones that are cut off from each other

  Background:
    Given the zones "a b c" of three membership hosts each, started from seeds
    And 4 directory upstreams in each zone that announce to any host of it

  Scenario: A cut both ways
    The links of one zone fail. Each side goes on with its own upstreams, and
    nobody may use upstreams of whose withdrawal it could not hear.

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

  Scenario: A cut one way
    Messages from one zone are lost, those to it arrive. It must not hold that
    for a working link: its hosts still learn what leaves elsewhere, but theirs
    are out of sight.

    When messages from zone "a" to the others are lost
    Then after 4 s hosts of zone "b" serve only upstreams of "b c"
    When the directory upstream "u-b0" withdraws at host "b2"
    Then after 4 s no host serves "u-b0"
    And over 20 s every host serves the upstreams of its own zone
    When the zones are joined again
    Then after 5 s every host knows the same

  Scenario: An upstream leaves during a long cut
    The zones lose each other for longer than tombstones are kept. Meanwhile an upstream leaves for
    good. After the healing a host that had slept on its old news would send
    it work, and spread the news as well.

    Given tombstones are kept for 60 s and news of silent zones for 40 s
    When zone "a" is cut off
    And 10 s pass for membership
    And the directory upstream "u-b0" withdraws at host "b2"
    And 70 s pass for membership
    And the zones are joined again
    Then over 6 s no host ever serves "u-b0"
    And every host knows the same

  Scenario: A host restarts inside a cut-off zone
    Operators restart a host while its zone is cut off. Its seeds in other zones
    are out of reach; it has to start from a peer of its own zone, and must not
    take the hosts that it cannot see for gone.

    When zone "a" is cut off
    And 10 s pass for membership
    And membership host "a2" restarts
    Then after 3 s hosts of zone "a" serve only upstreams of "a"
    And over 5 s every host serves the upstreams of its own zone
    And hosts of zone "a" count hosts of "a"

  Scenario: A third zone keeps two in touch
    Two zones lose each other, but both reach a third. What the third one knows
    is as good as their own word, so nothing need be withheld.

    When zone "a" and zone "b" are cut off from each other
    Then over 20 s every host serves all directory upstreams
    When the directory upstream "u-b0" withdraws at host "b2"
    Then after 3 s no host serves "u-b0"

  Scenario: A host alone inside its own zone
    One host loses every link to its peers, while callers still reach it. It
    must not go on for long with upstreams of which it hears nothing, and when
    it returns, its ignorance must not take anything from the others.

    When host "a1" is cut off from all others
    And 20 s pass for membership
    And the directory upstream "u-a0" withdraws at host "a2"
    Then after 1 s no host serves "u-a0"
    When the zones are joined again
    Then over 10 s every host but "a1" serves all live directory upstreams
    And every host knows the same

  Scenario: A host wakes after a long sleep
    A host is suspended for hours and goes on where it was. Others have
    dropped the tombstone of an upstream that left; the sleeper's memory
    of it must not bring it back.

    Given tombstones are kept for 60 s and news of silent zones for 40 s
    When membership host "a1" stands still while "u-b0" withdraws and 70 s pass
    Then over 6 s no host ever serves "u-b0"
    And every host knows the same

  Scenario: A zone breaks in two
    One host of a zone keeps its link to the other zones, its two peers lose
    theirs, and they take a withdrawal that it cannot hear of. Its word alone
    must not keep the others sending work to an upstream that left.

    When hosts "a2 a3" are cut off from all others
    And the directory upstream "u-a0" withdraws at host "a2"
    Then after 4.5 s only hosts "a2 a3" may know that "u-a0" left, and none serves it

  Scenario: Every host loses every other
    A faulty rule drops all traffic between hosts for a while. Afterwards each
    waits for another's word before it is certain of its own zone; somebody has
    to begin.

    When every link between hosts is cut
    And 20 s pass for membership
    And the zones are joined again
    Then after 5 s every host serves all directory upstreams
    And every membership host takes all others for live

  Scenario: Caps on connections hold while zones part and meet
    The links between hosts fail while upstreams still reach hosts on both
    sides, so that either side takes itself for their owner. An upstream closes
    what goes beyond its cap, and queries on such a connection would fail.

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
