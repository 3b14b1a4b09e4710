Feature: Shards are repartitioned while queries run

  Scenario: A reply from the old partitioning arrives after the query restarted
    A service is split from 2 shards into 3 under the same snapshot while a sweep
    runs: one upstream has switched and refuses the old shard, the other still
    answers it. If that late reply were used, the answer would mix rows of two
    partitionings, and credits near the new boundary would appear twice.

    Given a tier that is repartitioned from 2 to 3 shards during a sweep
    When the repartitioned tier gets a late reply from the old partitioning
    Then the answer covers 3 of 3 new shards with 1 row each

  Scenario: Neither partitioning is complete
    The split is half done and an upstream was lost meanwhile. A partial search
    must list the missing shards of the partitioning it used.

    Given a tier that is repartitioned from 2 to 3 shards during a sweep
    And the repartitioned tier loses shard 1 of the new partitioning
    When a scan is submitted to the repartitioned tier
    Then the answer covers 2 of 3 new shards and lists shard 1 as missing
