Feature: A request that crashes upstreams is stopped, and only such a request

  Scenario: Resent every 100 ms through other hosts
    A certain query crashes each upstream that runs it, and its caller sends it
    again through another host. Unchecked, it takes down the whole service.

    Given 4 entry hosts and 8 replicas, and a query that crashes them after 10 ms
    When the query is sent 20 times, every 100 ms, each time through the next host
    Then at most 2 upstreams were lost to it
    And the later ones were refused as quarantined with ran no

  Scenario: Resent faster than it crashes
    The query runs for a while before the upstream crashes, so it is already in
    flight from a second host when the first one learns of the loss.

    Given 4 entry hosts and 8 replicas, and a query that crashes them after 150 ms
    When the query is sent 20 times, every 100 ms, each time through the next host
    Then at most 2 upstreams were lost to it
    And the later ones were refused as quarantined with ran no

  Scenario: The caller writes it differently each time
    A caller's program orders the fields otherwise and asks for other services;
    taken for another query, it would cost two more upstreams each time.

    Given 4 entry hosts and 8 replicas, and a query that crashes them after 10 ms
    When the query is sent 20 times with other spacing, order and services
    Then at most 2 upstreams were lost to it

  Scenario: Others that were in flight at the crash are answered and not banned
    Many callers' queries run beside the poisonous one. They are lost with their
    upstream, and they must neither fail nor come under its ban.

    Given 4 entry hosts and 8 replicas, and a query that crashes them after 10 ms
    When it is sent every 100 ms among 6 other queries every 10 ms for 2 s
    Then at most 2 upstreams were lost to it
    And every other query was answered

  Scenario: Two suspects never share an upstream
    A harmless query was on the upstream that the poisonous one brought down. Sent
    together to the next one, both would be there at two crashes, and nobody could
    tell them apart.

    Given 2 entry hosts and 1 replicas, and a query that crashes them after 10 ms
    When a harmless query and the poisonous one share it, and one more replica comes
    Then the harmless query is answered and only the poisonous one is quarantined

  Scenario: A sweep with poison in one shard
    Only one shard holds the row on which the query crashes. The sweep is sent to
    all shards, and those that answer must not clear it.

    Given 3 entry hosts and 6 shards in two zones, and a sweep that crashes shard 2
    When the sweep is sent 10 times, every 100 ms, each time through the next host
    Then at most 2 upstreams were lost to it
    And the later ones were refused as quarantined with ran no

  Scenario: A sweep crashes every shard
    Its first volley takes one upstream of each shard with it. Sent again and again
    it would take all three of each, and no other sweep could be answered.

    Given 9 entry hosts and 10 shards in three zones, and a sweep that crashes every shard
    When the sweep is sent 30 times, every 100 ms, each time through the next host
    Then no shard lost more than 2 upstreams to it
    And the later ones were refused as quarantined with ran no

  Scenario: A zone goes down under a sweep
    All upstreams of a zone vanish at once. A sweep loses its shards there in the
    same moment; were that taken for its fault, it would be banned for nothing.

    Given 3 entry hosts and 6 shards in two zones, and a sweep that is harmless
    When zone a goes down while the sweep is in flight from every host
    Then the sweeps were answered in full and nothing is quarantined

  Scenario: A coincidence is not banned for good
    Two upstreams died by accident under the same query. When its ban is over, one
    host tries it, it is answered, and all hosts let it pass again.

    Given 4 entry hosts and 8 replicas, and a query that crashes them after 10 ms
    And the query was quarantined and has become harmless
    When its ban is over and it is sent through every host within 15 s
    Then it was answered once by a trial, and then by every host

  Scenario: After its ban a poisonous request costs one upstream at most
    The query is still poisonous when its ban is over. All hosts would try it at
    once if one did not go first.

    Given 4 entry hosts and 8 replicas, and a query that crashes them after 10 ms
    And the query was quarantined and is still poisonous
    When its ban is over and it is sent through every host within 15 s
    Then exactly 1 more upstream was lost to it
    And the new ban is twice as long

  Scenario: Suspicions and bans stay bounded
    Upstreams keep crashing under ever new queries. What the hosts remember of
    them must not grow with it.

    When one host loses 5000 connections under 5000 different queries
    Then it remembers at most 2000 suspects and 2000 bans
