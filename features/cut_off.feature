Feature: A host that is cut off sends its callers to other hosts

  Scenario: A host without reachable upstreams of the shards counts as cut off
    A partition leaves its zone without any upstream of the shards. Callers still reach
    the entry hosts of the zone, but each of their sweeps is refused there until the
    partition heals, although the other zones could answer.

    Given a router in a zone without upstreams of the shards
    When sweeps arrive for 1 second
    Then the host is not cut off
    When nothing outside its zone responds
    And sweeps arrive for 2 seconds
    Then the host is cut off
    When the other zones respond again
    And sweeps arrive for 1 second
    Then the host is not cut off
    And the last sweep was answered

  Scenario: A host is not cut off if all upstreams of the shards are down
    Other hosts could not answer either. Callers sent to them would overload the other
    zones, and the requests that this host can serve would be lost with them.

    Given a router in a zone without upstreams of the shards
    When no upstream of the shards responds
    And sweeps arrive for 3 seconds
    Then the host is not cut off

  Scenario: A host whose zone has its own upstreams is not cut off
    It can serve its callers itself. Sending them elsewhere would load the other
    zones, and the network between callers and those zones, for nothing.

    Given a router in a zone with an upstream of each shard
    When nothing outside its zone responds
    And sweeps arrive for 3 seconds
    Then the host is not cut off
    And the last sweep was answered

  Scenario: The retry-after lasts until the load balancer has noticed
    A caller retries only once. With a retry-after of 0.5 s it would be sent to the same
    host, refused for the second time, and lost.

    Given a router in a zone without upstreams of the shards
    When sweeps arrive for 1 second
    And nothing outside its zone responds
    And sweeps arrive until the host is cut off
    Then the next sweep is refused with a retry-after of 2.2 to 2.6 seconds
    When sweeps arrive for 3 seconds
    Then the next sweep is refused with a retry-after of 0.3 to 0.7 seconds
