Feature: The replies of a sweep queue on the host's own link

  Scenario: The log line of a sweep's end contains the arrival times and size of its parts
    A sweep took long, and its last parts came long after the first. The remedy depends
    on whether their upstreams were slow or the parts queued on the host's inbound link;
    an operator cannot tell without their times and sizes.

    Given sweeps of 36 parts of 1,300 bytes over a link of 1,250,000 bytes a second
    And upstreams that take 11 ms
    When 1 sweep is simulated
    Then the log line of its end says 46800 bytes between 12 and 48 ms

  Scenario: The replies of a sweep do not all arrive at one host
    On a calm day, with every upstream fast, callers got late answers, or answers that
    lacked parts. A sweep requests 36 shards at the same moment and their replies
    arrive together; the host that sent the requests has a slow link and half a
    processor, and reads one reply after the other. The queued replies looked like
    stragglers, up to a dozen were hedged within a millisecond, and the replies to the
    hedges took more of the same link. The cause was that one host received all parts
    of a sweep while the other hosts of its zone were idle. With links a hundred times
    as fast half of the answers came after 55 ms instead of 75, and a day on which
    0.554 of the sweeps' worth was earned gave 0.824 where processor time was free.

    Given the grown environment of norway
    When its calm day is played with seed 1
    Then callers got more than 0.95 of their worth

  Scenario: Queued replies are not hedged
    No other host can help. A dozen shards were hedged within a millisecond, although
    their replies were arriving; the replies to the hedges took more of the same
    link, and no tokens were left for the replies that were lost.

    Given sweeps of 36 parts of 1,300 bytes over a link of 1,250,000 bytes a second
    And upstreams that take 11 ms, of which every 30th request stalls
    When 40 sweeps are simulated
    Then at most twice as many shards were hedged as stalled
    And at least 0.95 of the sweeps were answered within 80 ms

  Scenario: A host that constantly receives replies still hedges
    Replies to other requests arrive all the time. A shard whose upstream stalls would
    wait for a gap between them, and its sweep with it.

    Given sweeps of 36 parts of 1,300 bytes over a link of 1,250,000 bytes a second
    And upstreams that take 11 ms, of which every 30th request stalls
    When 40 sweeps are simulated while another reply arrives every 2 ms
    Then at least 0.95 of the sweeps were answered within 100 ms

  Scenario: Shards that a helper reports as straggling are hedged immediately
    Given a host in a zone of 3 with a sweep over 36 shards
    When a sweep arrives and a helper reports all but 2 of its shards
    Then these 2 are hedged immediately, and no others
