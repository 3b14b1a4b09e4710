Feature: Entry hosts tell each other of upstreams that are slow or faulty

  A host that gets a sweep in some seconds learns nothing of its upstreams from one to
  the next, and asks slow ones first each time.

  Scenario: An upstream that stands still for a moment is none
    Given a log of outliers
    When 5 hosts report u-1 within 0.1 seconds
    Then u-1 is not told

  Scenario: What one host finds alone may be its own doing
    Given a log of outliers
    When 1 host reports u-1 5 times over 1 second
    Then u-1 is not told

  Scenario: Several hosts find an upstream slow for some time
    Given a log of outliers
    When 2 hosts report u-1 4 times over 1 second
    Then u-1 is told once
    When 4 seconds pass and 1 host reports u-1 once
    Then u-1 is told a second time

  Scenario: All upstreams are busy
    Nothing is won by avoiding those that are as slow as the others.

    Given a log of outliers
    When each of 30 upstreams is reported by 2 hosts 4 times over 1 second
    Then no upstream is told

  Scenario: An outlier of long ago is judged anew
    Given a log of outliers
    When 2 hosts report u-1 4 times over 1 second
    And 8 seconds pass and 1 host reports u-1 once
    Then u-1 is told once

  Scenario: What was told long ago holds no more
    Given a log of outliers
    When 2 hosts report u-1 4 times over 1 second
    Then 4 seconds later a host that begins to watch is told of nothing

  Scenario: Control hosts hand on what others tell to entry hosts alone
    Told back and forth among themselves it would never end.

    Given a log of outliers
    When another control host tells of u-1
    Then an entry host is told of u-1, a control host is not

  Scenario: An upstream that others found slow is not asked first
    Given a router with a sweep over 1 shards of 3 upstreams each
    When other hosts found the upstream of the own zone slow
    Then none of the next 10 sweeps go there
    When 4 seconds pass
    Then the next sweep goes there

  Scenario: All upstreams of a shard are told to be slow
    Given a router with a sweep over 1 shards of 3 upstreams each
    When other hosts found all upstreams slow
    Then a sweep is still sent and answered

  Scenario: One host in some goes on asking an outlier
    Else nobody would find out that it is well, or all would at once.

    Given 160 hosts that were told that an upstream is slow
    Then between 3 and 20 of them still ask it first

  Scenario: The news of a start does not fit the next one
    Given a router with a sweep over 1 shards of 3 upstreams each
    When other hosts found an earlier start of the upstream of the own zone slow
    Then the next sweep goes there

  Scenario: A host reports what is slow and what rejects with slots free
    Given a router with a sweep over 1 shards of 3 upstreams each
    When 20 sweeps take 12 ms and the next one 60 ms
    Then 1 slow upstream is reported
    When a sweep is rejected once with slots free
    Then 1 faulty upstream is reported

  Scenario: All entry hosts of the zone are told, by their own control host
    Given control hosts in zones a, b and c, and 8 entry hosts in zone a
    When 2 entry hosts report u-1 4 times over 1 second
    Then within 1 second every entry host is told of u-1
    And the control hosts of zones b and c told the entry hosts of no upstream
