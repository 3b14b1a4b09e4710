Feature: Entry hosts agree on who lives

  Background:
    Given the zones "a b c" of three membership hosts each, started from seeds

  Scenario: Hosts find each other
    Hosts know nothing but a few seeds from their settings. A host that served
    before it knew the others would use the whole of every upstream.

    Then after 2 s every membership host counts 9 hosts

  Scenario: A host that dies is found
    A host loses power. The work for a third of its zone's upstreams passes
    through it, so their shards are missing from answers until the others know.

    When membership host "a1" dies
    Then after 5 s no membership host takes "a1" for live
    And every membership host counts 8 hosts

  Scenario: A cut between two hosts is no death
    A switch drops what passes between two hosts of a zone, while both reach
    all others. Were one declared dead, its upstreams would change hands over
    nothing, time after time.

    When the link between "a1" and "a2" is cut both ways
    And 20 s pass for membership
    Then no membership host was ever suspected

  Scenario: Lost and copied messages kill nobody
    A lossy link drops one message in ten and copies another tenth. Without
    indirect probes and refutation some host would soon be declared dead, and
    its upstreams would be given to others for nothing.

    When one membership message in 10 is lost and one in 10 copied
    And 60 s pass for membership
    Then every membership host takes all others for live

  Scenario: A host comes back with an older clock
    A host restarts, and its clock now lags behind, so that its incarnation is
    lower than before. Were it taken for old news, it would stay dead for ever.

    When membership host "a1" dies
    And 6 s pass for membership
    And membership host "a1" starts again with incarnation 3
    Then after 3 s every membership host takes all others for live

  Scenario: A host that leaves is gone at once
    An operator stops a host. Others need not wait until it is found silent; its
    share of every upstream is free at once.

    When membership host "b2" leaves
    Then after 2 s every membership host counts 8 hosts

  Scenario: A host that stood still accuses nobody
    A host is frozen for ten seconds by its hypervisor. When it goes on, all its
    probes have timed out; without care it would declare its whole zone dead.

    When membership host "a1" stands still for 10 s
    And 8 s pass for membership
    Then every membership host takes all others for live
    And membership host "a1" never declared anybody dead

  Scenario: A notice reaches every host once
    One host tells the others of a query that brings upstreams down. A host
    that missed it would let the caller's resend bring down the next upstream;
    one that took it twice would count one crash as two.

    When one membership message in 10 is lost and one in 10 copied
    And membership host "c3" posts the notices "q1 q2 q3"
    And 3 s pass for membership
    Then every other membership host got the notices "q1 q2 q3" once

  Scenario: Most hosts die at once
    A rack goes and takes two of three hosts in every zone. The survivors must
    find each other and agree on who is gone; with every neighbour silent, each
    might take itself for the one that is cut off and wait for ever.

    When membership hosts "a1 a2 b1 b3 c2 c3" die
    Then after 10 s every membership host counts 3 hosts

  Scenario: Reports of usage share calls
    Every host reports what subscribers used through it four times a second. A
    call of each to each for that would be most of what control costs a host.

    When every membership host posts a usage report each 250 ms for 10 s
    Then every membership host got a report of every other within the last 1 s
    And no membership host made more than 24 calls a second for it
