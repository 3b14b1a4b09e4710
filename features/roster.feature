Feature: Upstreams announce themselves to control hosts

  Scenario: A delayed announcement does not replace a later one
    An announcement is delayed in the network, and meanwhile the upstream has
    announced that it drains. If it became ready again here, hosts would send to
    it until it is gone.

    Given a roster that received u-1 as ready in incarnation 5 with sequence 3
    And the roster received u-1 as draining in incarnation 5 with sequence 4
    When the roster receives u-1 as ready in incarnation 5 with sequence 3
    Then the roster has u-1 as draining

  Scenario: A deregistered upstream stays deregistered
    Given a roster that received u-1 as ready in incarnation 5 with sequence 3
    And the roster receives the deregistration of u-1
    When the roster receives u-1 as ready in incarnation 5 with sequence 4
    Then the roster has u-1 as gone

  Scenario: A later start under the same id begins a new sequence
    Given a roster that received u-1 as ready in incarnation 5 with sequence 30
    And the roster receives the deregistration of u-1
    When the roster receives u-1 as ready in incarnation 6 with sequence 1
    Then the roster has u-1 as ready

  Scenario: An address is reused
    The first upstream crashed and its address was assigned to another. With both
    entries, requests of one service would be sent to an upstream of the other.

    Given a roster that received u-1 as ready in incarnation 5 with sequence 3 at addr-1
    When the roster receives u-2 as ready in incarnation 9 with sequence 1 at addr-1
    Then the roster has u-1 as gone
    And the roster has u-2 as ready

  Scenario: The announcement of an address's previous owner arrives late
    A partition delayed the announcement, and the previous owner crashed long ago.

    Given a roster that received u-2 as ready in incarnation 9 with sequence 1 at addr-1
    When the roster receives u-1 as ready in incarnation 5 with sequence 3 at addr-1
    Then the roster has u-2 as ready
    And the roster does not know u-1

  Scenario: An upstream of a service that is not configured claims an address
    Another program reported the address of a sound upstream, which was taken out of use
    for good by a single announcement.

    Given a roster that received u-1 as ready in incarnation 5 with sequence 3 at addr-1
    And the service of u-1 is configured
    When the roster receives agent-1 of another service in incarnation 9 at addr-1
    And the roster receives u-1 as ready in incarnation 5 with sequence 4 at addr-1
    Then the roster has u-1 as ready
    And the roster does not know agent-1

  Scenario: An upstream whose service is not configured yet is kept from its address
    Another program reported its address while it started, before the configuration that
    names its service.

    Given a roster that received agent-1 as ready in incarnation 9 with sequence 1 at addr-1
    And no service is configured
    When the roster receives u-1 of another service in incarnation 5 at addr-1
    Then the roster does not know u-1
    When the other service is configured
    And the roster receives u-1 of another service in incarnation 5 at addr-1
    Then the roster has u-1 as ready
    And the roster has agent-1 as silent

  Scenario: A late announcement does not end an upstream whose service is not configured yet
    The address of u-1, which has crashed, was assigned to u-2, and a partition delayed the
    last announcement of u-1.

    Given a roster that received u-1 as ready in incarnation 5 with sequence 3 at addr-1
    And no service is configured
    And 6 seconds have passed without an announcement
    When the roster receives u-2 of another service in incarnation 9 at addr-1
    And the service of u-1 is configured
    And the roster receives u-1 as ready in incarnation 5 with sequence 4 at addr-1
    Then the roster has u-2 as silent
    When both services are configured
    And the roster receives u-2 of another service in incarnation 9 and sequence 2 at addr-1
    Then the roster has u-2 as ready
    And the roster has u-1 as gone

  Scenario: The owner of an address that another program claims falls silent
    Given a roster that received u-1 as ready in incarnation 5 with sequence 3 at addr-1
    And the service of u-1 is configured
    When the roster receives u-2 of another service in incarnation 9 at addr-1
    And 6 seconds pass without an announcement
    And the roster receives u-2 of another service in incarnation 9 at addr-1
    Then the roster has u-1 as silent
    And the roster has u-2 as ready

  Scenario: A renewal without a change is not distributed
    Given a roster that received u-1 as ready in incarnation 5 with sequence 3
    When the roster receives u-1 as ready in incarnation 5 with sequence 4
    Then a watcher at the previous version is sent nothing

  Scenario: An upstream stops announcing itself
    It crashed and sends no announcements any more.

    Given a roster that received u-1 as ready in incarnation 5 with sequence 3
    When 6 seconds pass without an announcement
    Then the roster has u-1 as silent
    When the roster receives u-1 as ready in incarnation 5 with sequence 4
    Then the roster has u-1 as ready

  Scenario: A control host that was suspended marks no upstream as silent
    While it was suspended, its upstreams announced themselves elsewhere, or their
    announcements wait in its sockets. Marking all of them as silent would leave
    every shard without upstreams.

    Given a roster that received u-1 as ready in incarnation 5 with sequence 3
    When the host is suspended for 6 seconds
    Then the roster has u-1 as ready

  Scenario: All hosts lose power
    Upstreams announce themselves about once a second. Without a saved roster every
    request would be refused until an upstream of each shard has done so.

    Given a roster that received u-1 as ready in incarnation 5 with sequence 3
    And the roster received u-2 as draining in incarnation 5 with sequence 4
    When its host saves it for 3 seconds and restarts
    Then the roster has u-1 as ready
    And the roster does not know u-2
    When the roster receives u-1 as ready in incarnation 5 with sequence 9
    Then a watcher at the previous version is sent u-1

  Scenario: An upstream left while all hosts were without power
    It counts as ready only until its announcement is overdue.

    Given a roster that received u-1 as ready in incarnation 5 with sequence 3
    When its host saves it for 3 seconds and restarts
    And 4 seconds pass without an announcement
    Then the roster has u-1 as silent

  Scenario: A saved roster is older than the roster of another host
    Given a roster that received u-1 as ready in incarnation 5 with sequence 3
    And another roster that received u-1 as draining in incarnation 5 with sequence 4
    When its host saves it for 3 seconds and restarts
    And each merges the entries of the other
    Then both rosters have u-1 as draining

  Scenario Outline: The file of the roster <what>
    Given a roster that received u-1 as ready in incarnation 5 with sequence 3
    When its host saves it for 3 seconds and restarts with a file that <what>
    Then the roster does not know u-1

    Examples:
      | what           |
      | is truncated   |
      | is missing     |

  Scenario: The disk is full when the roster is saved
    Given a roster that received u-1 as ready in incarnation 5 with sequence 3
    When its host saves it for 3 seconds on a full disk
    Then the roster has u-1 as ready

  Scenario: The folder of the roster cannot be created when a control host starts
    The disk is full. The host must start all the same and save the roster later.

    Given a roster that received u-1 as ready in incarnation 5 with sequence 3
    When its host starts on a disk that at first fails to create the folder
    Then the roster has u-1 as ready

  Scenario: The rosters of two control hosts converge
    Given a roster that received u-1 as ready in incarnation 5 with sequence 3
    And another roster that received u-1 as draining in incarnation 5 with sequence 4
    When each merges the entries of the other
    Then both rosters have u-1 as draining
    And merging again changes nothing

  Scenario: A host that starts to watch gets all upstreams
    Given a roster that received u-1 as ready in incarnation 5 with sequence 3
    And the roster received u-2 as ready in incarnation 5 with sequence 3
    Then a watcher at version 0 is sent 2 upstreams

  Scenario: A draining announcement is answered once all watching hosts confirm it
    Two entry hosts watch and one is slow to confirm the update. If the upstream
    stopped before, that host would still send requests to it.

    Given a feed that entry-1 and entry-2 watch
    When u-1 drains and entry-1 confirms the update
    Then the announcement of u-1 is not yet answered
    When entry-2 confirms the update
    Then the announcement of u-1 is answered

  Scenario: A draining announcement is refused without a quorum of control hosts
    This host is partitioned from the other control hosts. Hosts on the other side
    would keep sending requests to the upstream.

    Given a feed that needs 1 other control host to confirm
    When u-1 drains and entry-1 confirms the update
    Then the announcement of u-1 is refused with quorum_lost

  Scenario: An update with a large configuration
    Each control host sends it to each entry host. If 400 routes came uncompressed
    with every change, the network between zones would carry more updates than
    answers.

    Given an update with a configuration of 400 routes
    Then it is compressed to less than a fifth
    And a watcher decompresses the same update

  Scenario: An update with a configuration is truncated
    Given an update with a configuration of 400 routes
    Then a truncated update is refused as invalid_request

  Scenario: A host that starts to watch gets many upstreams compressed
    Given a feed whose roster has 278 upstreams
    When a host starts to watch it
    Then it is sent all 278 in less than 12 KB

  Scenario: A compressed list of upstreams is truncated
    Given a feed whose roster has 278 upstreams
    When a host starts to watch it
    Then a truncated list of upstreams is refused as invalid_request

  Scenario: Many upstreams start within a second
    Each control host sent each entry host every upstream in a reply of its own: with
    87 hosts and 8 control hosts, bytes between zones became the largest cost of a
    day.

    Given a feed that a host watches
    When 40 upstreams start one after the other
    Then the host is sent all 40 in at most 2 replies

  Scenario: A control host restarts its feed while hosts keep watching it
    Its disk failed for a moment and connections stay open. Hosts that hold a version
    of its earlier run must be sent its entries at once, not at the next change.

    Given a feed whose roster has 20 upstreams
    When a host watches with a version of an earlier run
    Then it is sent all 20 upstreams at once

  Scenario: An upstream drains while others start
    It may stop as soon as its announcement is answered. If the update about it were
    delayed to batch it with the others, it would arrive after the upstream stopped.
    Requests to the upstream would then be lost.

    Given a feed that a host watches
    When an upstream drains while 5 others start
    Then the host is sent all 5 in at most 2 replies
    And the last update reports that it drains

  Scenario: A cold start ends at the announced time
    Upstreams that start together end their cold start together. Each host knows the
    time already, so an update for each upstream would be redundant.

    Given a control host that received an upstream as cold for 3 seconds
    When 4 seconds pass and it announces itself as warm
    Then the other hosts are sent nothing
    When 1 second passes and it announces itself as cold again
    Then the other hosts are sent the change

  Scenario: An upstream becomes cold again before its cold start has ended
    The longer time was not sent to other hosts, which sent requests at the full rate as
    soon as the first one had ended.

    Given a control host that received an upstream as cold for 3 seconds
    When 2 seconds pass and it announces itself as cold for another 1000 ms
    Then the other hosts are sent nothing
    When 0 seconds pass and it announces itself as cold for another 1050 ms
    Then the other hosts are sent nothing
    When 0 seconds pass and it announces itself as cold for another 3000 ms
    Then the other hosts are sent the change
    And they are told that it is cold for another 3000 ms

  Scenario: The upstreams of a service are found by an index
    A rollout looks up its service ten times a second among 88,000 upstreams, too
    often for a scan over all of them.

    Given a roster with u-1 of service s-1 and u-2 of service s-1
    When u-1 restarts in service s-2
    And u-2 leaves and is evicted
    Then the roster has only u-1 under s-2 and nothing under s-1
