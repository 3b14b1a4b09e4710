Feature: Every host knows the live upstreams

  Background:
    Given the zones "a b c" of three membership hosts each, started from seeds
    And 4 directory upstreams in each zone that announce to any host of it

  Scenario: Lease renewals are not replicated between hosts
    Every upstream renews its lease each second. With tens of thousands of
    upstreams the renewals alone would saturate every host's links if they were
    sent to all hosts.

    Then over 20 s no upstream record is sent between hosts

  Scenario: A new index version reaches all upstreams within seconds
    Hundreds of upstreams load the next snapshot one after another. If each
    change were sent in a call of its own, hosts would be busy with calls, answer
    probes late, be suspected for it, and get still more calls because of that.

    Given 100 further directory upstreams in each zone
    When all directory upstreams load snapshot 43 within 3 s
    Then after 3 s every host knows snapshot 43 of all directory upstreams
    And meanwhile no host made more than 25 membership calls a second

  Scenario: An upstream withdraws
    An upstream withdraws at one host. Sub-requests from any other host that
    still sent to it would be cut off.

    When the directory upstream "u-a0" withdraws at host "a2"
    Then after 0.2 s no host serves "u-a0"
    When a late copy of the last announcement of "u-a0" reaches host "b1"
    Then over 5 s no host ever serves "u-a0"

  Scenario: An upstream crashes and its lease expires
    No host may keep sending it work for longer than a few seconds.

    When the directory upstream "u-a0" stops renewing
    Then after 4.5 s no host serves "u-a0"

  Scenario: Late, duplicated and reordered announcements are ignored
    An upstream drains; then an older announcement with the state "ready" arrives
    at another host, twice. If it were accepted, an upstream about to stop would
    get new work.

    When the directory upstream "u-b1" announces that it drains, at host "b1"
    And an announcement of "u-b1" from before that reaches hosts "b2 c1 b2"
    Then over 3 s every host that serves "u-b1" knows that it drains

  Scenario: A delayed change arrives after it was reverted
    An upstream reports another state for one renewal, and that announcement is
    delayed behind the next one. It is newer than the record published first, but
    outdated: the home host has already received the later renewal.

    When a delayed change of "u-b1" arrives after the renewal that reverted it
    Then after 2 s every host knows the current state of "u-b1"

  Scenario: An upstream restarts on the same address
    An upstream crashes and restarts cold on its address. If the new incarnation
    were taken for the old one, it would get the load of a warm upstream; and a
    late withdrawal of the old incarnation must not remove the new one.

    When the directory upstream "u-c2" restarts with incarnation 200
    And a withdrawal of incarnation 100 of "u-c2" reaches host "a1"
    Then after 1 s every host serves incarnation 200 of "u-c2"

  Scenario: An upstream moves to another zone
    An upstream is stopped in one zone and started in another with the same id.
    Its old home host still holds a lease that nobody renews; when that lease
    expires, the upstream must not be removed.

    When the directory upstream "u-a1" moves to zone "b"
    Then after 1 s every host serves "u-a1" in zone "b"
    And over 8 s every host serves all directory upstreams

  Scenario: A second upstream with the id of a live one is refused
    A copied configuration starts a second upstream with the id of a live one.
    If both were accepted in turn, work would go to either address, and one
    upstream's limits would apply to both together.

    When another upstream claims "u-a0" from a second address
    Then the claim is refused with "upstream_conflict"
    And over 3 s every host serves "u-a0" at its first address

  Scenario: The home host fails
    The host that keeps an upstream's lease loses power. Its upstreams still
    renew through other hosts and must stay in service.

    When the home host of "u-a0" dies
    Then over 15 s every host serves all directory upstreams

  Scenario: The home host and its upstream fail together
    A rack fails. No host notices that the upstream's lease expired until the
    next host takes over as its home host.

    When the home host of "u-a0" dies
    And the directory upstream "u-a0" stops renewing
    Then after 9 s no host serves "u-a0"

  Scenario: An upstream announces itself once, to a host cut off from its home host
    A new upstream announces itself to a host whose links inside its zone are
    down, and crashes. The record spreads through other zones. Unless the home
    host starts a lease when it gets the record from them, the upstream is never
    removed.

    When host "a1" loses its links inside the zone
    And a new upstream "u-a9" announces itself once, at host "a1"
    And 1 s pass for membership
    Then some host serves "u-a9"
    And after 9 s no host serves "u-a9"

  Scenario: The wall clocks jump
    An administrator corrects the clocks of all hosts by an hour. Leases must
    neither all expire at once nor last an hour longer.

    When the wall clock of the hosts jumps by 3600 s
    Then over 5 s every host serves all directory upstreams
    When the directory upstream "u-a0" stops renewing
    Then after 4.5 s no host serves "u-a0"

  Scenario: An upstream restarts with a clock that lags
    An upstream crashes, and its machine restarts with a clock that lags. Its
    incarnation is lower than that of its last start, so its announcements look
    like delayed ones; unlike those, they keep coming.

    When the directory upstream "u-a0" stops renewing
    And 5 s pass for membership
    And the directory upstream "u-a0" restarts with incarnation 50
    Then after 12 s every host serves "u-a0"

  Scenario: All hosts of a zone fail
    All entry hosts of a zone lose power while its upstreams keep running and
    announce themselves to the hosts of other zones. They are reachable, so
    their shards must not be missing from the answers.

    When membership hosts "a1 a2 a3" die
    And the directory upstreams of zone "a" announce to hosts of "b c" only
    And 6 s pass for membership
    Then over 10 s every host serves all directory upstreams
