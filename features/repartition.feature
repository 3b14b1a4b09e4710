Feature: Shards are repartitioned while queries run

  Scenario: A reply of the old partitioning comes after the query started over
    A service is split from 2 shards into 3 under the same snapshot while a sweep
    runs: one upstream has switched and refuses the old shard, the other still
    answers it. If that late reply were taken, rows of two partitionings would
    stand in one answer and credits near the new border would show twice.

    Given a repartitioned tier that goes from 2 to 3 shards during a sweep
    When the repartitioned tier gets a late reply of the old partitioning
    Then the repartitioned answer covers 3 of 3 shards with 1 row each

  Scenario: Neither partitioning is held in full
    The split is half done and an upstream was lost on the way. A search of what
    there is must name what it left out, out of the partitioning it used.

    Given a repartitioned tier that goes from 2 to 3 shards during a sweep
    And the repartitioned tier loses shard 1 of the new partitioning
    When the repartitioned tier gets a scan
    Then the repartitioned answer covers 2 of 3 shards and names shard 1
