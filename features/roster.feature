Feature: Upstreams announce themselves to control hosts

  Scenario: A late announcement does not undo a later one
    An announcement is held up on its way. The upstream has said since that it
    drains; were it ready again here, hosts would send to it until it is gone.

    Given a roster that heard u-1 ready in incarnation 5 with sequence 3
    And the roster heard u-1 draining in incarnation 5 with sequence 4
    When the roster hears u-1 ready in incarnation 5 with sequence 3
    Then the roster has u-1 as draining

  Scenario: An upstream that said goodbye stays away
    Given a roster that heard u-1 ready in incarnation 5 with sequence 3
    And the roster hears the goodbye of u-1
    When the roster hears u-1 ready in incarnation 5 with sequence 4
    Then the roster has u-1 as gone

  Scenario: A later start under the same id counts anew
    Given a roster that heard u-1 ready in incarnation 5 with sequence 30
    And the roster hears the goodbye of u-1
    When the roster hears u-1 ready in incarnation 6 with sequence 1
    Then the roster has u-1 as ready

  Scenario: An address is used again
    The first upstream died and its address went to another. Both entries would
    send requests of one service to an upstream of the other.

    Given a roster that heard u-1 ready in incarnation 5 with sequence 3 at addr-1
    When the roster hears u-2 ready in incarnation 9 with sequence 1 at addr-1
    Then the roster has u-1 as gone
    And the roster has u-2 as ready

  Scenario: The old owner of an address is heard of late
    A partition held up its announcement; it died long ago.

    Given a roster that heard u-2 ready in incarnation 9 with sequence 1 at addr-1
    When the roster hears u-1 ready in incarnation 5 with sequence 3 at addr-1
    Then the roster has u-2 as ready
    And the roster does not know u-1

  Scenario: A renewal that says nothing new travels nowhere
    Given a roster that heard u-1 ready in incarnation 5 with sequence 3
    When the roster hears u-1 ready in incarnation 5 with sequence 4
    Then nothing is told to watchers that held its last version

  Scenario: An upstream falls silent
    It crashed and says nothing any more.

    Given a roster that heard u-1 ready in incarnation 5 with sequence 3
    When 6 seconds pass without an announcement
    Then the roster has u-1 as silent
    When the roster hears u-1 ready in incarnation 5 with sequence 4
    Then the roster has u-1 as ready

  Scenario: A control host that stood still calls nobody silent
    The host was frozen, and its upstreams announced themselves elsewhere or wait
    in its sockets. Calling all of them silent would empty every shard.

    Given a roster that heard u-1 ready in incarnation 5 with sequence 3
    When the host stands still for 6 seconds
    Then the roster has u-1 as ready

  Scenario: All hosts lose their power
    Upstreams announce themselves about once a second. Until each shard has, every
    request would be refused.

    Given a roster that heard u-1 ready in incarnation 5 with sequence 3
    And the roster heard u-2 draining in incarnation 5 with sequence 4
    When its host keeps it for 3 seconds and starts anew
    Then the roster has u-1 as ready
    And the roster does not know u-2
    When the roster hears u-1 ready in incarnation 5 with sequence 9
    Then a watcher that held the last version is told of u-1

  Scenario: An upstream left while all hosts had no power
    It is taken for ready only until it should have announced itself.

    Given a roster that heard u-1 ready in incarnation 5 with sequence 3
    When its host keeps it for 3 seconds and starts anew
    And 4 seconds pass without an announcement
    Then the roster has u-1 as silent

  Scenario: A kept roster is older than what others know
    Given a roster that heard u-1 ready in incarnation 5 with sequence 3
    And another roster that heard u-1 draining in incarnation 5 with sequence 4
    When its host keeps it for 3 seconds and starts anew
    And each merges what the other knows
    Then both rosters have u-1 as draining

  Scenario Outline: The file of the roster is no use: <what>
    Given a roster that heard u-1 ready in incarnation 5 with sequence 3
    When its host keeps it for 3 seconds and starts anew with a file that <what>
    Then the roster does not know u-1

    Examples:
      | what           |
      | was torn       |
      | is gone        |

  Scenario: The disk is full when the roster is kept
    Given a roster that heard u-1 ready in incarnation 5 with sequence 3
    When its host keeps it for 3 seconds on a full disk
    Then the roster has u-1 as ready

  Scenario: The disk takes no new folder when a control host starts
    It is full. The host must start all the same, and keep the roster later.

    Given a roster that heard u-1 ready in incarnation 5 with sequence 3
    When its host starts on a disk that takes no new folder, and then does
    Then the roster has u-1 as ready

  Scenario: Two control hosts come to the same
    Given a roster that heard u-1 ready in incarnation 5 with sequence 3
    And another roster that heard u-1 draining in incarnation 5 with sequence 4
    When each merges what the other knows
    Then both rosters have u-1 as draining
    And merging once more changes nothing

  Scenario: A host that starts to watch gets everything
    Given a roster that heard u-1 ready in incarnation 5 with sequence 3
    And the roster heard u-2 ready in incarnation 5 with sequence 3
    Then a watcher from version 0 is told of 2 upstreams

  Scenario: An upstream is told that it may leave once hosts know
    Two entry hosts watch and one is slow to take the news. The upstream would
    stop while that host still sends to it.

    Given a feed that entry-1 and entry-2 watch
    When u-1 drains and entry-1 takes the news
    Then u-1 is not yet told that it may leave
    When entry-2 takes the news
    Then u-1 is told that it may leave

  Scenario: An upstream is not told that it may leave where a quorum does not know
    This host is cut off from the other control hosts. Hosts on the other side
    would go on sending to the upstream.

    Given a feed of which 1 other control host has to know
    When u-1 drains and entry-1 takes the news
    Then u-1 is refused with quorum_lost

  Scenario: News of a large configuration
    Each control host tells each entry host. Where 400 routes come with every change,
    the network between zones carries more news than answers.

    Given news of a configuration with 400 routes
    Then it is packed to less than a fifth
    And a watcher reads the same news from it

  Scenario: News of a configuration is cut short
    Given news of a configuration with 400 routes
    Then what is left of it is refused as invalid_request

  Scenario: A host that starts to watch gets many upstreams
    Given a feed whose roster has 278 upstreams
    When a host begins to watch it
    Then it is told of all 278 in less than 12 KB

  Scenario: Many upstreams are cut short on their way
    Given a feed whose roster has 278 upstreams
    When a host begins to watch it
    Then what is left of the upstreams is refused as invalid_request

  Scenario: Many upstreams start within a second
    Each control host would tell each entry host of each of them by itself: with 87
    hosts and 8 control hosts, bytes between zones became the largest cost of a day.

    Given a feed that a host watches
    When 40 upstreams start one after the other
    Then the host is told of all 40 in at most 2 replies

  Scenario: A control host starts over while hosts go on asking it
    Its disk failed for a moment, connections stay. Hosts that count in the versions of
    its earlier run must hear at once of what it knows, not when something changes.

    Given a feed whose roster has 20 upstreams
    When a host asks on that counts in the versions of an earlier run
    Then it is told of all 20 upstreams at once

  Scenario: An upstream leaves while others start
    It may stop as soon as it is told that it can. News of it that waited for the
    others would come after its end, and requests be lost on it.

    Given a feed that a host watches
    When an upstream drains while 5 others start
    Then the host is told of all 5 in at most 2 replies
    And the last news tells that it drains

  Scenario: A cold start ends when it was said to
    All upstreams that start together end it together. Each host knows the moment;
    told again of each, it learns nothing.

    Given a control host that heard of an upstream that is cold for 3 seconds
    When 4 seconds pass and it announces itself as warm
    Then nothing changed for the other hosts
    When 1 second passes and it announces itself as cold again
    Then the other hosts are told

  Scenario: The upstreams of a service are found without looking at all
    A roll-out looks at its service ten times a second, among 88,000 upstreams.

    Given a roster that hears u-1 of service s-1 and u-2 of service s-1
    When u-1 starts again as one of service s-2
    And u-2 leaves and is forgotten
    Then the roster finds u-1 under s-2 and nobody under s-1
