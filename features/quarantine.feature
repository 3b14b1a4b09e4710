Feature: Only requests that crash upstreams are quarantined

  Scenario: Resent every 100 ms through other hosts
    A certain query crashes each upstream that runs it, and its caller resends it
    through another host. Unchecked, it takes down the whole service.

    Given 4 entry hosts and 8 replicas, and a query that crashes them after 10 ms
    When the query is sent 20 times, every 100 ms, each time through the next host
    Then at most 2 upstreams crashed because of it
    And the later ones were refused as quarantined with ran no

  Scenario: Resent faster than it crashes
    The query runs for a while before the upstream crashes, so it is already in
    flight from a second host when the first one learns of the crash.

    Given 4 entry hosts and 8 replicas, and a query that crashes them after 150 ms
    When the query is sent 20 times, every 100 ms, each time through the next host
    Then at most 2 upstreams crashed because of it
    And the later ones were refused as quarantined with ran no

  Scenario: The same query is encoded differently each time
    A caller's program reorders the fields and asks for other services. If that
    counted as another query, it would crash two more upstreams each time.

    Given 4 entry hosts and 8 replicas, and a query that crashes them after 10 ms
    When the query is sent 20 times with other spacing, order and services
    Then at most 2 upstreams crashed because of it

  Scenario: Other queries in flight at the crash are answered and not banned
    Many callers' queries run beside the crashing one and are lost with their
    upstream. They must neither fail nor be banned.

    Given 4 entry hosts and 8 replicas, and a query that crashes them after 10 ms
    When it is sent every 100 ms among 6 other queries every 10 ms for 2 s
    Then at most 2 upstreams crashed because of it
    And every other query was answered

  Scenario: Two suspects never run on the same upstream
    A harmless query was in flight on the upstream that the crashing one took down.
    If both were retried on the same replica, both would be present at two crashes,
    so nobody could tell which one causes them.

    Given 2 entry hosts and 1 replicas, and a query that crashes them after 10 ms
    When a harmless query runs on the same replica, and one more replica joins
    Then the harmless query is answered and only the crashing one is quarantined

  Scenario: A sweep that crashes a single shard
    Only one shard holds the row on which the query crashes. The sweep is sent to
    all shards, and replies from the others must not clear it.

    Given 3 entry hosts and 6 shards in two zones, and a sweep that crashes shard 2
    When the sweep is sent 10 times, every 100 ms, each time through the next host
    Then at most 2 upstreams crashed because of it
    And the later ones were refused as quarantined with ran no

  Scenario: A sweep that crashes every shard
    Its first attempts crash one upstream of each shard. Sent again and again it
    would crash all three of each, and no other sweep could be answered.

    Given 9 entry hosts and 10 shards in three zones, and a sweep that crashes every shard
    When the sweep is sent 30 times, every 100 ms, each time through the next host
    Then no shard lost more than 2 upstreams to it
    And the later ones were refused as quarantined with ran no

  Scenario: A zone fails during a sweep
    All upstreams of a zone fail at once, so a sweep loses all its shards there at
    the same time. If the sweep were held responsible, it would be banned wrongly.

    Given 3 entry hosts and 6 shards in two zones, and a sweep that is harmless
    When zone a fails while the sweep is in flight from every host
    Then the sweeps were answered in full and nothing is quarantined

  Scenario: A wrongly banned query is released after a trial
    Two upstreams crashed by coincidence under the same query. When its ban ends,
    one host tries it, it is answered, and all hosts accept it again.

    Given 4 entry hosts and 8 replicas, and a query that crashes them after 10 ms
    And the query was quarantined and has become harmless
    When its ban ends and it is sent through every host within 15 s
    Then it was answered once by a trial, and then by every host

  Scenario: A query that two upstreams lost by coincidence is served again soon
    Two connections broke while the same query ran, and it crashes nothing. Callers who
    send it often are refused until its ban ends, and a soak allows 20 s.

    Given 4 entry hosts and 8 replicas, and a query that crashes them after 10 ms
    And the query was quarantined and has become harmless
    When it is sent through every host for 20 s
    Then it was answered by every host in the end

  Scenario: A crashing query that callers keep sending costs one more upstream
    Its first ban ends early for a trial, which crashes an upstream. If another host
    tried it as well, or the second ban ended early too, it would go on costing them.

    Given 4 entry hosts and 8 replicas, and a query that crashes them after 10 ms
    And the query was quarantined and still crashes upstreams
    When it is sent through every host for 60 s
    Then exactly 1 more upstream crashed because of it
    And the new ban is twice as long

  Scenario: After its ban a crashing query costs at most one upstream
    The query still crashes upstreams when its ban ends. All hosts would try it at
    once if one did not go first.

    Given 4 entry hosts and 8 replicas, and a query that crashes them after 10 ms
    And the query was quarantined and still crashes upstreams
    When its ban ends and it is sent through every host within 15 s
    Then exactly 1 more upstream crashed because of it
    And the new ban is twice as long

  Scenario: The number of suspects and bans is bounded
    Upstreams keep crashing under ever new queries. The memory that hosts use for
    suspects and bans must not grow with them.

    When one host loses 5000 connections under 5000 different queries
    Then it stores at most 2000 suspects and 2000 bans
