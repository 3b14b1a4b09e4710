Feature: A host records traces that can be replayed

  Scenario: What was recorded replays to the same outcomes
    Something goes wrong at a site and has to be understood elsewhere. If the
    record did not replay, or held what was asked and by which key, it could be
    neither used nor sent.

    Given an entry host that records, with a service of two shards
    When 30 lookups, a scan with a lost shard, and a sweep that is refused are sent
    Then the recorded trace replays without a missed outcome
    And it holds none of the keys that were looked up

  Scenario: The record ends at its bound
    A host under load records for days. Without a bound it would fill the disk.

    Given an entry host that records at most 20000 bytes
    When 30 lookups, a scan with a lost shard, and a sweep that is refused are sent
    Then the trace is not larger and every line of it can be read
