Feature: Work goes to the replicas that do well

  Scenario: A replica that fails at once draws no work
    It answers each request with an error within a millisecond and so looks idle.
    Were the quickest preferred, it would take in all queries.

    Given a selection among 3 replicas that reply in 20 ms
    When for 100 queries the first replica of the selection fails at once
    Then the selection sent it at most 8 first attempts and every query was answered

  Scenario: A straggler is found out before it replies
    One replica becomes ten times slower. Callers would wait for it until enough
    slow replies have come in.

    Given a selection among 3 replicas that reply in 20 ms
    When for 100 queries the first replica of the selection takes 200 ms
    Then the selection sent it at most 8 first attempts and every query was answered

  Scenario: A saturated replica reports that it is idle
    Its replies say that nothing runs and nothing waits, and take ten times as
    long. Were reports believed, it would get the most work of all.

    Given a selection among 3 replicas that reply in 20 ms
    When for 100 queries the first replica of the selection lies and takes 200 ms
    Then the selection sent it at most 8 first attempts and every query was answered

  Scenario: A replica that is well again gets its share
    It was set aside and gets no caller's work, so nothing would ever show that
    it is fast again, and the others would carry its load for good.

    Given a selection among 3 replicas that reply in 20 ms
    And for 100 queries the first replica of the selection takes 200 ms
    When for 400 queries the first replica of the selection is well
    Then the selection sent it at least 60 first attempts

  Scenario: Failures of all replicas do not empty a shard
    A bad minute of the network makes every replica look failed. When it is over,
    queries must be answered at once.

    Given a selection among 3 replicas that reply in 20 ms
    When for 20 queries all replicas of the selection fail at once
    Then the selection answers the next query
