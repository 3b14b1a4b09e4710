Feature: Membership over real calls between hosts

  Scenario: Hosts on sockets share upstreams and notices
    The cores are proved on a fake wire. What joins them to sockets may still
    lose an answer, decode a message wrongly or call the wrong address; every
    host would serve only what it hears itself.

    Given 3 membership loops on loopback in the zones "a b c"
    When an upstream of zone "a" announces itself to the loop of "b"
    Then every membership loop comes to know 3 hosts and that upstream
    And the metrics of the loop of "c" show 3 live hosts and 1 served upstream
    When the loop of "c" notifies the others of a usage report
    Then the loops of "a" and "b" come to hold that report
    When the loop of "a" leaves
    Then the loops of "b" and "c" come to know 2 hosts

  Scenario: A host of another environment gets nothing
    A trial host is given a production seed. It must neither learn of production
    upstreams nor bring its own in.

    Given 2 membership loops on loopback in the zones "a b"
    When a host with another token starts from the loop of "a"
    Then that host finds no peer and the loops know 2 hosts

  Scenario: An address that nobody can reach stops the start
    An operator has a host listen on all its addresses. The others would be told
    0.0.0.0, call themselves, and take the new host for dead.

    When a membership loop is to start on the address "0.0.0.0:9000"
    Then it is refused with "invalid_setting" at "peer-listen"
