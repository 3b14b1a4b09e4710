Feature: Load balancing prefers healthy and fast replicas

  Scenario: A replica that fails fast gets no more work
    It answers each request with an error within a millisecond and so looks idle.
    If the lowest latency were preferred, it would receive all queries.

    Given load balancing among 3 replicas that reply in 20 ms
    When for 100 queries the first balanced replica fails fast
    Then it got at most 8 first attempts and every balanced query was answered

  Scenario: A slow replica is detected before it replies
    One replica becomes ten times slower. Callers would wait for it until enough
    slow replies have arrived.

    Given load balancing among 3 replicas that reply in 20 ms
    When for 100 queries the first balanced replica takes 200 ms
    Then it got at most 8 first attempts and every balanced query was answered

  Scenario: A saturated replica reports that it is idle
    Its load reports say that nothing is in flight or queued, but its replies take
    ten times as long. If the reports were trusted, it would get the most work.

    Given load balancing among 3 replicas that reply in 20 ms
    When for 100 queries the first balanced replica reports no load and takes 200 ms
    Then it got at most 8 first attempts and every balanced query was answered

  Scenario: A recovered replica gets its share again
    An ejected replica gets no callers' work, so nothing would ever show that it
    is fast again, and the others would carry its load permanently.

    Given load balancing among 3 replicas that reply in 20 ms
    And for 100 queries the first balanced replica takes 200 ms
    When for 400 queries the first balanced replica has recovered
    Then it got at least 60 first attempts

  Scenario: A shard keeps its replicas when all of them fail
    A short network outage makes every replica look failed. After it, queries must
    be answered immediately.

    Given load balancing among 3 replicas that reply in 20 ms
    When for 20 queries all balanced replicas fail fast
    Then the next balanced query is answered
