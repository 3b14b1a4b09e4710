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
