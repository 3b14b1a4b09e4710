Feature: A host records traces that can be replayed

  Scenario: A recorded trace replays to the same outcomes
    A fault at one site has to be analysed elsewhere. A trace that did not replay
    would be useless, and one that contained queries or keys could not be shared.

    Given an entry host that records, with a service of two shards
    When 30 lookups, a scan with a lost shard, and a sweep that is refused are sent
    Then the recorded trace replays with every expected outcome
    And it contains none of the keys that were looked up

  Scenario: A trace stops at its size limit
    A host under load records for days. Without a limit it would fill the disk.

    Given an entry host that records at most 20000 bytes
    When 30 lookups, a scan with a lost shard, and a sweep that is refused are sent
    Then the trace is within the limit and every line of it can be parsed
