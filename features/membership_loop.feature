Feature: Membership over real calls between hosts

  Scenario: Hosts share upstreams and notices over sockets
    The protocol logic is tested on a simulated network. The code that connects
    it to sockets may still lose a reply, decode a message wrongly or call the
    wrong address; each host would then serve only the upstreams that announce
    themselves to it.

    Given 3 membership loops on loopback in the zones "a b c"
    When an upstream of zone "a" announces itself to the loop of "b"
    Then every membership loop eventually knows 3 hosts and that upstream
    And the metrics of the loop of "c" show 3 live hosts and 1 served upstream
    When the loop of "c" notifies the others of a usage report
    Then the loops of "a" and "b" eventually receive that report
    When the loop of "a" leaves
    Then the loops of "b" and "c" eventually know 2 hosts

  Scenario: A host of another environment can't join
    A host of a test environment is configured with a production seed. It must
    neither learn of production upstreams nor add its own.

    Given 2 membership loops on loopback in the zones "a b"
    When a host with another token joins through the loop of "a"
    Then that host finds no peer and the loops know 2 hosts

  Scenario: A host with an unroutable peer address does not start
    An operator has a host listen on all its addresses. The other hosts would
    learn the address 0.0.0.0, call themselves, and declare the new host dead.

    When a membership loop is created with the address "0.0.0.0:9000"
    Then it is refused with "invalid_setting" at "peer-listen"
