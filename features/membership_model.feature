Feature: Membership and the directory converge under random faults

  Scenario: Hosts crash, links break, messages are lost, duplicated and reordered
    Any fault may occur at any moment, repeatedly or together with others. In
    every order, no upstream that left may come back, and once the faults end
    every host must know exactly the live hosts and upstreams; otherwise a host
    would keep sending work to upstreams that are gone, or miss shards for ever.

    Then membership converges under 25 random histories of 16 events

  Scenario: A withdrawn upstream stays away from a host that restarted
    A delayed copy of an announcement reaches a host that restarted after the
    withdrawal and does not know its tombstone yet. If the host accepts the lease,
    it goes on serving an upstream that is gone.

    Then membership converges if upstream u-a0 is withdrawn, host c1 restarts and receives a delayed announcement of it
