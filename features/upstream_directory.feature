Feature: Every host knows the live upstreams

  Background:
    Given the zones "a b c" of three membership hosts each, started from seeds
    And 4 directory upstreams in each zone that announce to any host of it

  Scenario: Only changes travel
    Every upstream renews its lease each second. At tens of thousands of
    upstreams the renewals alone would fill every host's links, if they went to
    all hosts.

    Then over 20 s no upstream record travels between hosts

  Scenario: A new index version reaches all upstreams within seconds
    Hundreds of upstreams load the next snapshot one after another. Were each
    change pushed by itself, hosts would be busy with calls, answer probes late,
    be suspected for it, and get still more calls about that.

    Given 100 further directory upstreams in each zone
    When all directory upstreams load snapshot 43 within 3 s
    Then after 3 s every host knows snapshot 43 of all directory upstreams
    And meanwhile no host made more than 25 membership calls a second

  Scenario: An upstream that leaves by word
    An upstream says goodbye to one host. Any other host that went on sending
    it work would have its sub-requests cut off.

    When the directory upstream "u-a0" withdraws at host "a2"
    Then after 0.2 s no host serves "u-a0"
    When a late copy of the last announcement of "u-a0" reaches host "b1"
    Then over 5 s no host ever serves "u-a0"

  Scenario: An upstream that leaves by silence
    An upstream crashes. No host may go on sending it work for longer than a
    few seconds.

    When the directory upstream "u-a0" falls silent
    Then after 4.5 s no host serves "u-a0"

  Scenario: Late, doubled and reordered announcements
    An upstream drains; then an older announcement that says "ready" arrives at
    another host, twice. Were it believed, an upstream about to stop would get
    new work.

    When the directory upstream "u-b1" announces that it drains, at host "b1"
    And an announcement of "u-b1" from before that reaches hosts "b2 c1 b2"
    Then over 3 s every host that serves "u-b1" knows that it drains

  Scenario: A change that was undone comes late
    An upstream reports another state for one renewal, and that announcement is
    delayed behind the next. It is newer than what was published first, yet out
    of date; the home host has heard the later one.

    When a stray change of "u-b1" arrives after the renewal that undid it
    Then after 2 s every host knows "u-b1" as it is

  Scenario: A restart on the same address
    An upstream crashes and starts again on its address, cold. Were the new
    incarnation taken for the old one, it would get a warm upstream's load; and
    a late word of the old one must not hide it.

    When the directory upstream "u-c2" restarts with incarnation 200
    And a withdrawal of incarnation 100 of "u-c2" reaches host "a1"
    Then after 1 s every host serves incarnation 200 of "u-c2"

  Scenario: A move to another zone
    An upstream is stopped in one zone and started in another under its id. Its
    old home host still holds a lease that nobody renews; when that lease ends,
    the upstream must not vanish.

    When the directory upstream "u-a1" moves to zone "b"
    Then after 1 s every host serves "u-a1" in zone "b"
    And over 8 s every host serves all directory upstreams

  Scenario: Two upstreams claim one id
    A copied configuration starts a second upstream under the id of a live one.
    Were both taken in turn, work would go to either address, and one
    upstream's limits would hold for two.

    When another upstream claims "u-a0" from a second address
    Then the claim is refused with "upstream_conflict"
    And over 3 s every host serves "u-a0" at its first address

  Scenario: The home host dies
    The host that keeps an upstream's lease loses power. Its upstreams are
    still renewing through other hosts and must stay in service.

    When the home host of "u-a0" dies
    Then over 15 s every host serves all directory upstreams

  Scenario: The home host and its upstream die together
    A rack goes. Nobody is left to notice that the upstream's lease ran out,
    until the next host takes over as its home.

    When the home host of "u-a0" dies
    And the directory upstream "u-a0" falls silent
    Then after 9 s no host serves "u-a0"

  Scenario: An upstream is heard once, by a host that its home cannot hear
    A new upstream announces itself to a host whose links inside its zone are
    down, and crashes. The news spreads through other zones. Unless the home
    host starts a lease on their word alone, nobody ever ends it.

    When host "a1" loses its links inside the zone
    And a new upstream "u-a9" announces itself once, at host "a1"
    And 1 s pass for membership
    Then some host serves "u-a9"
    And after 9 s no host serves "u-a9"

  Scenario: The wall clocks jump
    An administrator corrects the clocks of all hosts by an hour. Leases must
    neither end all at once nor last an hour longer.

    When the wall clock of the hosts jumps by 3600 s
    Then over 5 s every host serves all directory upstreams
    When the directory upstream "u-a0" falls silent
    Then after 4.5 s no host serves "u-a0"

  Scenario: An upstream restarts with an older clock
    An upstream crashes, and its machine comes back with a clock that lags. Its
    incarnation is lower than that of its last start, so it looks like late
    news; yet it keeps renewing, which late news does not.

    When the directory upstream "u-a0" falls silent
    And 5 s pass for membership
    And the directory upstream "u-a0" restarts with incarnation 50
    Then after 12 s every host serves "u-a0"

  Scenario: A zone whose only hosts are gone
    All entry hosts of a zone lose power while its upstreams live on and
    announce themselves to the hosts of other zones. They can be reached, so
    their shards must not drop out of the answers.

    When membership hosts "a1 a2 a3" die
    And the directory upstreams of zone "a" announce to hosts of "b c" only
    And 6 s pass for membership
    Then over 10 s every host serves all directory upstreams
