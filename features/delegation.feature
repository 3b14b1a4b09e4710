Feature: The hosts of a zone share the requests to the shards of a sweep

  Scenario: The shards of a sweep are divided among the hosts
    Given a host in a zone of 5 with a sweep over 36 shards
    When a sweep arrives
    Then each shard is requested once, and no host requests more than 12 of them

  Scenario: A sweep over few shards is not delegated
    A call to another host would take more time than it saves.

    Given a host in a zone of 5 with a sweep over 8 shards
    When a sweep arrives
    Then this host requests all shards itself

  Scenario: The same hosts request the same shards each time
    They keep their connections to those upstreams; each new connection takes up a slot
    there.

    Given a host in a zone of 4 with a sweep over 36 shards
    When 3 sweeps arrive
    Then each shard was requested by the same host in all of them

  Scenario: A helper that refuses because it is stopping is avoided
    It sent nothing. Each sweep delegated to it would lack a third of its parts, or take
    a token for every shard although none of them had been requested.

    Given a host in a zone of 3 with a sweep over 36 shards and no extra-attempt budget
    When a sweep arrives and its helpers refuse to help
    Then this host requests all shards itself
    When a sweep arrives
    Then this host requests all shards itself

  Scenario: A helper that fails is avoided, without blaming upstreams
    It may have sent its requests, so each shard counts as requested once. That says
    nothing about their upstreams, of which dozens would otherwise be ejected.

    Given a host in a zone of 3 with a sweep over 36 shards
    When a sweep arrives and its helpers fail
    Then this host requests all shards itself, those of the helpers a second time
    When this host's attempts are answered
    Then the sweep is answered with 36 parts, and no upstream counts as failing
    When a sweep arrives
    Then this host requests all shards itself

  Scenario: A stalled helper is avoided
    No connection is reset, and the timeout of a call is the remaining time of its
    caller. Until then each sweep delegated to it would lack a group of its shards.

    Given a host in a zone of 3 with a sweep over 36 shards
    When a sweep arrives and a helper does not report
    Then its shards are hedged by this host, and the next sweep does not use it

  Scenario: Helpers of a sweep with one attempt per shard report within the objective
    Such a sweep is never hedged, so no hedge delay determines when the helpers report.

    Given a host in a zone of 3 with a sweep over 36 shards of one attempt each
    When a sweep arrives
    Then the helpers have to report within the objective

  Scenario: A part reported after its shard was hedged is named in the answer
    The records of the whole report were merged. If the part that came second was left
    out, the answer would contain records of a part that it does not name.

    Given a host in a zone of 3 with a sweep over 36 shards
    When a sweep arrives, a delegated shard is hedged and the hedge is answered first
    And the helpers report all their parts
    And this host's attempts are answered
    Then the answer names every part that was reported

  Scenario: All parts of a report that completes a due answer are named in it
    Each part of it could complete the sweep; the first one that does must not leave out
    those that were merged with it.

    Given a host in a zone of 3 with a sweep over 36 shards
    When a sweep arrives, and the last report arrives when its answer is due
    Then the answer names every part that was reported

  Scenario: A helper reports the parts it has, and the rest later
    Given a helper that gathers from 3 upstreams, of which one replies late
    When it is called with a short report delay
    Then it reports 2 parts, then 1, each with their greatest records

  Scenario: A helper reports a rejection immediately
    The shard has to be requested again within the objective. If the rejection was
    reported with the other parts, half of that time would be over.

    Given a helper that gathers from 3 upstreams, of which one replies late
    When it is called with a long report delay and the first upstream rejects
    Then the rejection is reported before the late upstream replied, which is not hedged

  Scenario: A helper does not hold replies back for a straggler
    One late upstream delayed the parts of all others until it was to be hedged.

    Given a helper that gathers from 3 upstreams, of which one replies late
    When it is called with a long report delay
    Then 2 parts are reported before the late upstream replied, which is not hedged

  Scenario Outline: Replies that queue for a slow processor are reported together
    Given <replies> of 10 replies, one each <gap> ms
    Then a helper reports them <after> ms after the last one

    Examples:
      | replies | gap | after |
      | 5       | 1   | 3     |
      | 5       | 4   | 8     |
      | 10      | 4   | 8     |
      | 4       | 1   | inf   |

  Scenario: A part that was released is left out of the report
    Given a helper that gathers from 3 upstreams, of which one replies late
    When it is called with a short report delay and the late attempt is released
    Then it reports 2 parts, then the late attempt without its part

  Scenario: A stopping host refuses to help
    Given a helper that gathers from 3 upstreams, of which one replies late
    When it is called while it stops
    Then the attempts are reported as unsent, and no upstream got a request

  Scenario: A helper without a key lease sends nothing for a team
    The host that delegates may hold a lease that the helper has lost. Attempts by the
    helper would run with a key that was revoked.

    Given a helper that gathers from 3 upstreams, of which one replies late
    When it is called for a team while it has no key lease
    Then the attempts are reported as unsent, and no upstream got a request

  Scenario: A helper loses its key lease while attempts wait for connections
    Given a helper that gathers from 3 upstreams, of which one replies late
    When it is called for a team, and its key lease expires after 1 sends
    Then it reports 1 part, and 2 attempts as not sent

  Scenario: A helper without a key lease helps with public routes
    Given a helper that gathers from 3 upstreams, of which one replies late
    When it is called for no team while it has no key lease
    Then it reports every part

  Scenario: A host stops while it gathers
    Given a helper that gathers from 3 upstreams, of which one replies late
    When it is called with a short report delay and stops after the first report
    Then it reports 2 parts, and the third attempt fails with its helper

  Scenario: Attempts of a caller that is gone are forgotten
    The host that delegated them never asks for the rest. Its attempts would be kept
    forever.

    Given a helper that gathers from 3 upstreams, of which one replies late
    When it is called with a short timeout by a host that then goes away
    Then it keeps no state for the call after a while

  Scenario: The shards of another zone are delegated to a host of that zone
    From a zone without replicas each shard costs the headers of a request and of a
    reply across the zone boundary, and each upstream a connection from every host.

    Given a host with a sweep over 30 shards whose replicas are in zones x, y and z
    When a sweep arrives
    Then the shards in zones x, y and z are delegated to one host of each zone
    And this host makes no more than 3 calls

  Scenario: A few shards of another zone are not delegated
    Given a host with a sweep over 4 shards whose replicas are in zones x, y and z
    When a sweep arrives
    Then this host requests all shards itself

  Scenario: Shards that the own zone lacks are requested in one zone
    Three shards in each of three zones are too few for an aggregator in each. The
    headers and records of nine requests would cross the zone boundary.

    Given a host with a sweep over 9 shards whose replicas are in zones x, y and z
    When 20 sweeps arrive
    Then most shards were delegated to one host of one zone, not always the same zone

  Scenario: Shards are not moved to a zone whose replicas are slow
    Given a host with a sweep over 9 shards whose replicas are in zones x, y and z
    And the replicas of 3 shards in zones x and y are five times slower
    When 20 sweeps arrive
    Then none of them uses a slow replica

  Scenario: A helper of another zone that refuses is replaced by another one
    Given a host with a sweep over 30 shards whose replicas are in zones x, y and z
    When a sweep arrives and its helpers refuse to help
    Then this host requests all shards itself
    When a sweep arrives
    Then the shards in zones x, y and z are delegated to another host of each zone

  Scenario: A helper that is gone is tried less and less often
    It stays listed for a while after it stopped, and each try costs a sweep a hedge of
    all its shards.

    Given a host with a sweep over 30 shards whose replicas are in zones x, y and z
    When all other hosts refuse to help for 12 seconds
    Then each of them was called at most 4 times

  Scenario: Hosts of a zone prefer different aggregators
    Given 40 hosts of a zone that know the same 2 hosts of zone x
    Then each of the 2 is preferred by at least 10 of them

  Scenario: Each host is told of the hosts of its own zone only
    Given a roster feed watched by entry hosts a-1 and a-2 of one zone and b-1 of another
    When a-1 polls the feed
    Then it gets hosts a-1 and a-2 only
    When a-1 polls the feed
    Then it gets no hosts
