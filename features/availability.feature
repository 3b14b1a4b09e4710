Feature: Requests that no upstream can answer are refused immediately

  Scenario: All upstreams of two shards hang, and resume
    Their processes accept connections and answer nothing, so probes of their listeners
    succeed. Each sweep would be held until its deadline and then get a 504.

    Given a router with a sweep over 4 shards of 3 upstreams each
    And the processes of the first two shards hang
    When 40 sweeps arrive 50 ms apart while probes succeed
    Then at least 15 of the last 20 of them were refused without being sent
    And no sweep was held for longer than 500 ms
    When the processes of the first two shards resume
    And 40 sweeps arrive 50 ms apart while probes succeed
    Then the last 10 of them were answered completely

  Scenario: One shard hangs, and the sweep does not need it
    Given a router with a sweep over 4 shards of 3 upstreams each
    And the processes of the first shard hang
    When 40 sweeps arrive 50 ms apart while probes succeed
    Then every sweep was answered

  Scenario: All upstreams of two shards pause at once
    A pause lasts up to 250 ms. If they counted as unavailable, callers would be refused
    although they would get a late answer.

    Given a router with a sweep over 4 shards of 3 upstreams each
    And the processes of the first two shards hang
    When 5 sweeps arrive 50 ms apart while probes succeed
    And the processes of the first two shards resume
    And 10 sweeps arrive 50 ms apart while probes succeed
    Then every sweep was answered

  Scenario: This host freezes while requests are in flight
    After it resumes, its timers fire before it has read the replies. All upstreams would
    seem to have been silent for as long as the host was frozen.

    Given a router without budget and a sweep over 4 shards
    When a sweep arrives
    And the host freezes for 700 ms and handles its timers first
    And all its attempts are answered
    Then it is answered

  Scenario: A request that must not be repeated waits for its upstream
    Its caller can't send it again: a late reply is worth more than an early error. So
    it also must not be sent as a probe.

    Given a router with a route for non-idempotent requests
    When a non-idempotent request arrives
    And 800 ms pass while its upstream accepts connections
    And all its attempts are answered
    Then the reply is forwarded to the caller
