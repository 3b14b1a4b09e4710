Feature: A host that is cut off sends its callers elsewhere

  Scenario: A partition leaves a zone without any upstream of the shards
    Callers still reach the entry hosts of the zone, but each of their sweeps is
    refused there until the partition heals, though the other zones could answer.

    Given a router in a zone without upstreams of the shards
    When sweeps arrive for 1 second
    Then the host is not cut off
    When nothing outside its zone answers any more
    And sweeps arrive for 2 seconds
    Then the host is cut off
    When the other zones answer again
    And sweeps arrive for 1 second
    Then the host is not cut off
    And the last sweep was answered

  Scenario: All upstreams of the shards are lost for every host
    Another host could answer no better. Callers who are sent away would crowd the
    other zones, and the requests that this host can serve would be lost with them.

    Given a router in a zone without upstreams of the shards
    When no upstream of the shards answers any more
    And sweeps arrive for 3 seconds
    Then the host is not cut off

  Scenario: A zone that has its own upstreams is cut off
    It can serve its callers itself. To send them away would load the other zones,
    besides the way between callers and them, for nothing.

    Given a router in a zone with an upstream of each shard
    When nothing outside its zone answers any more
    And sweeps arrive for 3 seconds
    Then the host is not cut off
    And the last sweep was answered

  Scenario: Callers are told to come back once the balancer has noticed
    A caller asks just once more. Told to come back after 0.5 s, it is taken to the
    same host, refused for the second time, and lost.

    Given a router in a zone without upstreams of the shards
    When sweeps arrive for 1 second
    And nothing outside its zone answers any more
    And sweeps arrive until the host is cut off
    Then the next sweep is told to come back after 2.2 to 2.6 seconds
    When sweeps arrive for 3 seconds
    Then the next sweep is told to come back after 0.3 to 0.7 seconds
