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

  Scenario: Hosts of other zones do not help
    Every byte would have a longer way.

    Given a feed that entry hosts a-1 and a-2 of one zone and b-1 of another watch
    When a-1 asks for news
    Then it is told of a-1 and a-2 alone
    When a-1 asks for news
    Then it is told of no hosts
