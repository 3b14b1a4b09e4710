Feature: Entry hosts agree on which hosts are live

  Background:
    Given the zones "a b c" of three membership hosts each, started from seeds

  Scenario: Hosts discover each other from a few seeds
    Hosts start with only a few seed addresses from their settings. A host that
    served before it knew the others would use the full capacity of every
    upstream.

    Then after 2 s every membership host counts 9 hosts

  Scenario: A host failure is detected
    A host loses power. It routed the work for a third of its zone's upstreams,
    so their shards are missing from answers until the other hosts detect the
    failure.

    When membership host "a1" dies
    Then after 5 s no membership host takes "a1" for live
    And every membership host counts 8 hosts

  Scenario: A broken link between two hosts is not taken for a host failure
    A switch drops all traffic between two hosts of a zone, while both reach all
    others. If one were declared dead, its upstreams would change owner
    repeatedly without need.

    When the link between "a1" and "a2" is cut both ways
    And 20 s pass for membership
    Then no membership host was ever suspected

  Scenario: Lost and duplicated messages cause no false failure detection
    A lossy link drops one message in ten and duplicates another tenth. Without
    indirect probes and refutation some host would soon be declared dead, and
    its upstreams would be reassigned without need.

    When one membership message in 10 is lost and one in 10 duplicated
    And 60 s pass for membership
    Then every membership host takes all others for live

  Scenario: A host restarts with a clock that lags
    A host restarts and its clock now lags, so its incarnation is lower than
    before. If it were rejected as outdated, the host would stay dead for ever.

    When membership host "a1" dies
    And 6 s pass for membership
    And membership host "a1" starts again with incarnation 3
    Then after 3 s every membership host takes all others for live

  Scenario: A host that leaves is removed at once
    An operator stops a host. The others must not wait until failure detection
    removes it; its share of every upstream becomes free at once.

    When membership host "b2" leaves
    Then after 2 s every membership host counts 8 hosts

  Scenario: A host that was paused declares no other host dead
    A hypervisor freezes a host for ten seconds. When it resumes, all its probes
    have timed out; unless it allows for the pause, it would declare its whole
    zone dead.

    When membership host "a1" is frozen for 10 s
    And 8 s pass for membership
    Then every membership host takes all others for live
    And membership host "a1" never declared anybody dead

  Scenario: A notice reaches every host exactly once
    One host notifies the others of a query that crashes upstreams. A host that
    missed the notice would let the caller's retry crash the next upstream; a
    host that processed it twice would count one crash as two.

    When one membership message in 10 is lost and one in 10 duplicated
    And membership host "c3" posts the notices "q1 q2 q3"
    And 3 s pass for membership
    Then every other membership host got the notices "q1 q2 q3" once

  Scenario: Most hosts fail at once
    A rack failure takes down two of three hosts in every zone. The survivors
    must find each other and agree on which hosts failed; as every probe of a
    neighbour fails, each might conclude that it is the isolated one and wait
    for ever.

    When membership hosts "a1 a2 b1 b3 c2 c3" die
    Then after 10 s every membership host counts 3 hosts

  Scenario: Usage reports are batched into membership calls
    Every host reports four times a second what subscribers used through it. A
    separate call from each host to each other would be most of the control
    traffic of a host.

    When every membership host posts a usage report each 250 ms for 10 s
    Then every membership host got a report of every other within the last 1 s
    And no membership host made more than 24 calls a second for the reports
