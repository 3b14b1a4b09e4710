Feature: A query is answered completely and from a single snapshot

  Scenario: Rows of all shards are returned from one snapshot
    Given a tier with shards 0 and 1 of credits-0 at snapshot 41
    When a sweep is submitted and every upstream replies
    Then the answer has 2 rows from snapshot 41 and complete coverage

  Scenario: The newest snapshot that every shard holds is pinned
    A new snapshot reaches the upstreams one by one. If a query pinned the newest
    snapshot it can see, shards that do not hold it yet would be missing or
    answered from the old one.

    Given a tier with shards 0 and 1 of credits-0 at snapshot 41
    And shard 0 of credits-0 also has snapshot 42
    When a sweep is submitted and every upstream replies
    Then the answer has 2 rows from snapshot 41 and complete coverage

  Scenario: A lost shard still counts towards the total
    The only replica of a shard fails without notice. If the total were computed
    from the live upstreams, a search that skipped a shard would be reported as
    complete.

    Given a tier with shards 0 and 1 of credits-0 at snapshot 41
    And the upstream of shard 1 is withdrawn
    When a scan is submitted and every upstream replies
    Then the answer covers 1 of 2 shards and lists shard 1 as no_replica

  Scenario: Complete coverage is required but impossible
    The only replica of a shard fails. The caller is told immediately and
    correctly that nothing ran, instead of waiting until its deadline.

    Given a tier with shards 0 and 1 of credits-0 at snapshot 41
    And the upstream of shard 1 is withdrawn
    When a sweep is submitted and every upstream replies
    Then the query is refused as incomplete with ran no

  Scenario: A late reply to a cancelled attempt is ignored
    A slow attempt is hedged and both attempts reply. If both replies were used,
    the caller would see one credit twice.

    Given a tier with two replicas of credits-0 and known latency
    When a sweep is slow, is hedged, and both upstreams reply
    Then the answer has 1 row and the slower attempt was cancelled

  Scenario: A non-idempotent request is not retried after a reset
    The connection breaks after the request was sent. The upstream may have run
    it: a second run would bill the client twice.

    Given a tier with two replicas of credits-0 and known latency
    When a retire is submitted and its connection is reset
    Then it was sent once and is refused with an unknown outcome

  Scenario: A restart on a new snapshot discards the rows of the old one
    A shard drops the pinned snapshot while the query runs. The query starts
    again; rows already received from the old snapshot must be discarded.

    Given a tier with shards 0 and 1 of credits-0 at snapshot 41
    When snapshot 42 replaces 41 on all shards after one reply to a sweep
    Then the answer has 2 rows from snapshot 42 and complete coverage

  Scenario: The clock advances while a query is admitted
    On a real host time passes between any two steps. An order that is recomputed
    until it no longer changes would never settle, and the host would hang at its
    first query.

    Given a tier whose clock advances on every reading
    When a sweep is submitted and every upstream replies
    Then the answer has 1 rows from snapshot 41 and complete coverage

  Scenario: The timer for a deadline fires slightly early
    Timers of an event loop fire within their resolution, which can be before the
    requested time. If the core then treated the timer as done, the query would
    never end and its caller would wait forever.

    Given a tier with shards 0 and 1 of credits-0 at snapshot 41
    When a sweep gets no reply and its timer fires 0.1 ms early
    Then the core sets the timer again and the query ends at its deadline
