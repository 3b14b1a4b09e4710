Feature: The hosts of a zone ask the shards of a sweep together

  Scenario: The shards of a sweep are divided
    Given a host in a zone of 5 with a sweep over 36 shards
    When a sweep arrives
    Then each shard is asked once, and no host asks more than 12 of them

  Scenario: A sweep over few shards is asked from here
    Another host would cost more time than it saves.

    Given a host in a zone of 5 with a sweep over 8 shards
    When a sweep arrives
    Then this host asks all shards

  Scenario: The same shards are asked by the same hosts
    They keep their connections to those upstreams; each new one holds a slot there.

    Given a host in a zone of 4 with a sweep over 36 shards
    When 3 sweeps arrive
    Then each shard was asked by the same host in all of them

  Scenario: A host that should help is stopping
    It took nothing. Each sweep that passed over it would lack a third of its parts,
    or take a token for every shard though none of them was asked.

    Given a host in a zone of 3 with a sweep over 36 shards and no budget
    When a sweep arrives and the others refuse to help
    Then this host asks all shards
    When a sweep arrives
    Then this host asks all shards

  Scenario: A host that should help falls silent
    It may have asked its shards, so that each counts as asked once; that says nothing
    of their upstreams, which would else be set aside by the dozen.

    Given a host in a zone of 3 with a sweep over 36 shards
    When a sweep arrives and the others fall silent
    Then this host asks all shards, those of the others a second time
    When the sweep is answered from here
    Then it has 36 parts, and no upstream counts as failing
    When a sweep arrives
    Then this host asks all shards

  Scenario: A host that should help stands still
    No reset says so, and a call's time is over only when its caller's is. Until then
    each sweep that asks it would lack a group of its shards.

    Given a host in a zone of 3 with a sweep over 36 shards
    When a sweep arrives and a helper does not report
    Then its shards are hedged from here, and the next sweep passes over it

  Scenario: A sweep of one attempt for each shard
    It is never hedged, so no moment says when others are to report.

    Given a host in a zone of 3 with a sweep over 36 shards of one attempt each
    When a sweep arrives
    Then the others are to report within the objective

  Scenario: A hedge was sooner than the report
    The report's records were merged: without the part that came second in it, the
    answer would hold records of a part that it does not name.

    Given a host in a zone of 3 with a sweep over 36 shards
    When a sweep arrives, a shard of another host is hedged and the hedge is sooner
    And the others report all their parts
    And the sweep is answered from here
    Then the answer names every part that was reported

  Scenario: A report comes when the answer is already due
    Each part of it would settle the sweep; the first one that does must not leave out
    those that were merged with it.

    Given a host in a zone of 3 with a sweep over 36 shards
    When a sweep arrives, its answer is due and the last report comes then
    Then the answer names every part that was reported

  Scenario: Another host reports what is in, and later the rest
    Given a host that gathers from 3 upstreams, of which one replies late
    When it is asked to report after a while
    Then it reports 2 parts, then 1, each with their greatest records

  Scenario: An upstream rejects a shard that another host asks
    Its shard has to be asked again within the objective. Told with the others, it
    would be once half of that time is over.

    Given a host that gathers from 3 upstreams, of which one replies late
    When it is asked to report after a long time and the first one rejects
    Then the rejection is reported before the late one replied, which is not hedged

  Scenario: Nobody waits for an attempt any more
    Given a host that gathers from 3 upstreams, of which one replies late
    When it is asked to report after a while and the late one is released
    Then it reports 2 parts, then the late attempt without its part

  Scenario: A host that is stopping takes nothing
    Given a host that gathers from 3 upstreams, of which one replies late
    When it is asked while it stops
    Then the attempts are told not to have been sent, and no upstream was asked

  Scenario: A host ends while it gathers
    Given a host that gathers from 3 upstreams, of which one replies late
    When it is asked to report after a while and ends after the first report
    Then it reports 2 parts, and the third attempt failed by its helper

  Scenario: The host that asked is gone
    It never asks for the rest. Its attempts would be remembered for ever.

    Given a host that gathers from 3 upstreams, of which one replies late
    When it is asked for a moment by a host that is gone then
    Then nothing of it is left after a while

  Scenario: The shards of another zone are asked by a host of that zone
    From a zone without replicas each shard costs the heads of a request and of a
    reply across the border, and each upstream a connection of every host.

    Given a host with a sweep over 30 shards whose replicas are in zones x, y and z
    When a sweep arrives
    Then one host of each of zones x, y and z asks the shards placed there
    And no more than 3 calls leave this host

  Scenario: A few shards of another zone are asked from here
    Given a host with a sweep over 4 shards whose replicas are in zones x, y and z
    When a sweep arrives
    Then this host asks all shards

  Scenario: Shards that the own zone lacks are asked in one zone
    Three in each of three zones are too few for an aggregator in each. The heads and
    the records of nine requests would cross the border.

    Given a host with a sweep over 9 shards whose replicas are in zones x, y and z
    When 20 sweeps arrive
    Then one host of one zone asked most of them, not always the same zone

  Scenario: The shards of a slow upstream stay where they are sooner
    Given a host with a sweep over 9 shards whose replicas are in zones x, y and z
    And the replicas of 3 shards in zones x and y are five times slower
    When 20 sweeps arrive
    Then none of them asks a slow replica

  Scenario: The host that should ask the shards of its zone refuses
    Given a host with a sweep over 30 shards whose replicas are in zones x, y and z
    When a sweep arrives and the others refuse to help
    Then this host asks all shards
    When a sweep arrives
    Then another host of each of zones x, y and z asks the shards placed there

  Scenario: A host that is gone is tried less and less often
    It is named for a while after its end, and each try costs a sweep a hedge of all
    its shards.

    Given a host with a sweep over 30 shards whose replicas are in zones x, y and z
    When all other hosts refuse to help for 12 seconds
    Then each of them was called at most 4 times

  Scenario: Each host of a zone prefers another aggregator
    Given 40 hosts of a zone, told of the same 2 hosts of zone x
    Then each of the 2 is preferred by at least 10 of them

  Scenario: Hosts of other zones are named apart
    Given a feed that entry hosts a-1 and a-2 of one zone and b-1 of another watch
    When a-1 asks for news
    Then it is told of a-1 and a-2 alone
    When a-1 asks for news
    Then it is told of no hosts
