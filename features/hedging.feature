Feature: Hedge timing depends on the number of shards and on the objective

  Scenario Outline: A sweep over more shards is hedged sooner
    A sweep that needs nearly all of many shards is late if two of them are. If it was
    hedged as late as a sweep over ten shards, no time would be left for a second hedge.

    Given a sweep over <shards> shards whose parts take 20 ms, and 70 ms for every tenth
    When one of its upstreams stalls
    Then the shard is hedged on another upstream after <least> to <most> ms

    Examples:
      | shards | least | most |
      | 10     | 51    | 75   |
      | 36     | 34    | 51   |

  Scenario: A busy host hedges while the second answer can still be in time
    Its replies queue, so the typical latency has grown, and the hedge delay with it. At
    1.7 times 30 ms the second answer is too late for the objective.

    Given a busy host with a sweep over 36 shards whose parts take 30 ms
    When one of its upstreams stalls
    Then the sweep is answered with all parts, within the objective of 100 ms
