Feature: Each request goes to the upstream that answers it soonest

  Scenario: Some upstreams are slow and each host sees them seldom
    With many entry hosts each gets a sweep a second and meets an upstream once in
    some seconds. A host that takes in little of each latency learns of no slow one
    before it is well again: callers get late answers, as every sweep meets some.

    Given a host among many that gets a sweep over 10 shards each second
    When one upstream in six takes ten times as long for 20 seconds
    Then no slow one was asked a third time within 6 seconds
    And at most 1 answer left parts out

  Scenario: A slow upstream is well again
    Avoided for good, its share of the work would fall to its neighbours.

    Given a host among many that gets a sweep over 10 shards each second
    When one upstream in six takes ten times as long for 10 seconds
    And all take as long as usual for 40 seconds
    Then at least 10 in 100 of the attempts of the last 20 seconds went to them

  Scenario: An upstream of another zone is a little faster
    Sound ones differ by up to two, which no caller notices. Each request that goes
    to another zone for it costs bytes on the dearest links.

    Given a host that gets 10 sweeps a second over 4 shards
    When of each shard's upstreams either those of its own zone or the others take 30 ms instead of 14 ms
    Then at least 9 in 10 of the first attempts stay in its own zone

  Scenario: An upstream of the own zone is much slower
    Given a host that gets 10 sweeps a second over 4 shards
    When those of its own zone take 90 ms and those of other zones 16 ms
    Then at most 1 in 5 of the first attempts stay in its own zone
