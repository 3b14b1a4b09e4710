Feature: The parts of a sweep come over the host's own link

  Scenario: The line of a sweep's end tells parts that waited for each other
    A sweep took long, and its last parts came long after the first. Whether their
    upstreams were slow or the parts waited for each other on the way in decides what
    helps; an operator cannot tell without their times and sizes.

    Given sweeps of 36 parts of 1,300 bytes over a link of 1,250,000 bytes a second
    And upstreams that take 11 ms
    When 1 sweep is played
    Then the line of its end tells 46800 bytes between 12 and 48 ms

  Scenario: A sweep's replies come to one host all at once
    On a calm day callers got late answers, or answers that lacked parts, though every
    upstream was quick. A sweep asks 36 shards at the same moment and their replies
    come together; the host that asked has a slow link and half a processor, and takes
    in one after the other. Those that waited there looked like stragglers, up to a
    dozen were hedged within a millisecond, and the hedges' replies took more of the
    same link. The cause was that one host alone took in all of a sweep while the
    others of its zone had nothing to do. The evidence: with links a hundred times as
    fast half of the answers came after 55 ms instead of 75, and a day on which 0.554
    of the sweeps' worth was earned gave 0.824 where processor time was free.

    Given the grown environment of norway
    When its calm day is played with seed 1
    Then callers got more than 0.95 of their worth

  Scenario: Parts that wait for each other are not hedged
    No other host can help. A dozen shards were hedged within a millisecond, though
    their replies were on the way in; the hedges' replies took more of the same link.
    Their tokens were gone for the replies that were lost.

    Given sweeps of 36 parts of 1,300 bytes over a link of 1,250,000 bytes a second
    And upstreams that take 11 ms, of which each 30th stands still
    When 40 sweeps are played
    Then at most twice as many shards were hedged as stood still
    And at least 0.95 of the sweeps were answered within 80 ms

  Scenario: A host that is never without replies hedges all the same
    Replies to other requests come all the time. A shard whose upstream stands still
    would wait for its pause, and its sweep with it.

    Given sweeps of 36 parts of 1,300 bytes over a link of 1,250,000 bytes a second
    And upstreams that take 11 ms, of which each 30th stands still
    When 40 sweeps are played while another reply comes each 2 ms
    Then at least 0.95 of the sweeps were answered within 100 ms

  Scenario: A helper tells which shards straggle
    Given a host in a zone of 3 with a sweep over 36 shards
    When a sweep arrives and a helper reports all but 2 of its shards
    Then these 2 are hedged at once, and no other
