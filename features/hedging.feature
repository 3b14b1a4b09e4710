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
