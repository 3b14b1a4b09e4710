Feature: Membership and the directory converge under random faults

  Scenario: Hosts crash, links break, messages are lost, doubled and reordered
    Anything may fail at any moment, together or twice. Whatever the order, no
    upstream that left may come back, and once the faults end every host must
    know just the live hosts and upstreams; otherwise some host would go on
    sending work to nowhere, or miss shards for ever.

    Then membership holds under 25 random histories of 16 events
