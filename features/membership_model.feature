Feature: Membership and the directory converge under random faults

  Scenario: Hosts crash, links break, messages are lost, duplicated and reordered
    Any fault may occur at any moment, repeatedly or together with others. In
    every order, no upstream that left may come back, and once the faults end
    every host must know exactly the live hosts and upstreams; otherwise a host
    would keep sending work to upstreams that are gone, or miss shards for ever.

    Then membership converges under 25 random histories of 16 events
