Feature: Sweeps of many shards are hedged sooner

  Scenario Outline: One upstream of a sweep stands still
    A sweep that needs nearly all of many shards is late if two of them are. Hedged
    as late as one of ten shards, a second hedge in need finds no time left.

    Given a sweep over <shards> shards whose parts take 20 ms, or 70 ms at some
    When one of its upstreams stands still
    Then another one is asked after <least> to <most> ms

    Examples:
      | shards | least | most |
      | 10     | 51    | 75   |
      | 36     | 34    | 51   |

  Scenario: A busy host hedges while a second answer may still be in time
    Its replies wait for each other, so the usual latency has grown, and the moment to
    hedge with it. At 1.7 times 30 ms the second answer is too late for the objective.

    Given a busy host with a sweep over 36 shards whose parts take 30 ms
    When one of its upstreams stands still
    Then the sweep is answered with all parts, within the objective of 100 ms
