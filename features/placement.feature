Feature: Each request goes to the upstream that should answer it soonest

  Scenario: A host with few requests avoids slow upstreams after two attempts
    Each of many entry hosts gets one sweep a second and uses an upstream once every few
    seconds. If one latency had little weight, the host would not recognise a slow
    upstream before it has recovered: callers would get late answers, as every sweep
    includes some slow upstream.

    Given a host among many that gets a sweep over 10 shards each second
    When one upstream in six takes ten times as long for 20 seconds
    Then no slow upstream got a third attempt within 6 seconds
    And at most 1 answer lacked parts

  Scenario: An upstream that has recovered is used again
    If it was avoided forever, its share of the work would fall to the other replicas.

    Given a host among many that gets a sweep over 10 shards each second
    When one upstream in six takes ten times as long for 10 seconds
    And all upstreams take the usual time for 40 seconds
    Then at least 10 in 100 of the attempts of the last 20 seconds went to the upstreams that had been slow

  Scenario: A slightly faster upstream of another zone is not preferred
    Latencies of healthy upstreams differ by up to a factor of two, which no caller
    notices. Each request to another zone costs bytes on the most expensive links.

    Given a host that gets 10 sweeps a second over 4 shards
    When of each shard's upstreams either the one of its own zone or the others take 30 ms, not 14 ms
    Then at least 9 in 10 of the first attempts stay in its own zone

  Scenario: A much slower upstream of the own zone is avoided
    Given a host that gets 10 sweeps a second over 4 shards
    When the upstreams of its own zone take 90 ms and those of other zones 16 ms
    Then at most 1 in 5 of the first attempts stay in its own zone
