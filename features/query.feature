Feature: A query gets one whole answer from one snapshot

  Scenario: Rows of all shards come back under one snapshot
    Given a tier with shards 0 and 1 of credits-0 on snapshot 41
    When a sweep is submitted and every upstream replies
    Then the answer has 2 rows of snapshot 41 and complete coverage

  Scenario: The newest snapshot that is covered in full is pinned
    An index version spreads over the upstreams one by one. If a query took the
    newest version it can see, shards that do not hold it yet would be missing
    or answered from the old one.

    Given a tier with shards 0 and 1 of credits-0 on snapshot 41
    And shard 0 of credits-0 also has snapshot 42
    When a sweep is submitted and every upstream replies
    Then the answer has 2 rows of snapshot 41 and complete coverage

  Scenario: A lost shard stays in the total
    The only replica of a shard dies without a word. If the total came from the
    live upstreams, the search would be called complete although a part of the
    register was never searched.

    Given a tier with shards 0 and 1 of credits-0 on snapshot 41
    And the upstream of shard 1 leaves
    When a scan is submitted and every upstream replies
    Then the answer covers 1 of 2 shards and names shard 1 as no_replica

  Scenario: Complete coverage was demanded and cannot be had
    The only replica of a shard dies. The caller is told at once, and truthfully
    that nothing was run, instead of waiting until its deadline.

    Given a tier with shards 0 and 1 of credits-0 on snapshot 41
    And the upstream of shard 1 leaves
    When a sweep is submitted and every upstream replies
    Then the query is refused as incomplete with ran no

  Scenario: A late reply of a cancelled attempt changes nothing
    A straggler is hedged and both attempts reply. If both replies were taken,
    the caller would see one credit twice.

    Given a tier with two replicas of credits-0 that has learned its latency
    When a sweep straggles, is hedged, and both upstreams reply
    Then the answer has 1 row and the loser was cancelled

  Scenario: A non-idempotent request is not sent again after a reset
    The connection breaks after the request left. The upstream may have run it:
    the client would be billed twice for a second run.

    Given a tier with two replicas of credits-0 that has learned its latency
    When a retire is submitted and its connection is reset
    Then it was sent once and the refusal says that the outcome is unknown

  Scenario: A restart on a new snapshot drops the rows of the old one
    A shard drops the pinned snapshot while the query runs. The query starts
    over; rows that had already come from the old snapshot must not stay.

    Given a tier with shards 0 and 1 of credits-0 on snapshot 41
    When a sweep loses snapshot 41 half way and 42 is announced everywhere
    Then the answer has 2 rows of snapshot 42 and complete coverage

  Scenario: The clock moves while a query is taken in
    On a real host time passes between any two steps. An order that is computed
    anew until it stands still would never come to an end, and the host would
    hang at its first query.

    Given a tier whose clock moves on with every reading
    When a sweep is submitted and every upstream replies
    Then the answer has 1 rows of snapshot 41 and complete coverage

  Scenario: The wake-up for a deadline comes a moment too early
    Timers of an event loop fire within their resolution, also before their
    moment. If the core then took its wake-up for done, the query would never
    end and its caller would wait for ever.

    Given a tier with shards 0 and 1 of credits-0 on snapshot 41
    When a sweep gets no reply and its wake-up comes 0.1 ms early
    Then the core asks to be woken again and the query ends at its deadline
