Feature: Entry hosts tell each other about slow or faulty upstreams

  A host that gets a sweep every few seconds learns nothing about its upstreams between
  two sweeps, and would send to slow ones first each time.

  Scenario: An upstream that pauses for a moment is not announced
    Given an outlier log
    When 5 hosts report u-1 within 0.1 seconds
    Then u-1 is not announced

  Scenario: An upstream that only one host reports is not announced
    The cause may be that host.

    Given an outlier log
    When 1 host reports u-1 5 times over 1 second
    Then u-1 is not announced

  Scenario: An upstream that several hosts find slow for some time is announced
    Given an outlier log
    When 2 hosts report u-1 4 times over 1 second
    Then u-1 is announced once
    When 4 seconds pass and 1 host reports u-1 once
    Then u-1 is announced a second time

  Scenario: No upstream is announced while all are busy
    Avoiding some gains nothing if the others are as slow.

    Given an outlier log
    When each of 30 upstreams is reported by 2 hosts 4 times over 1 second
    Then no upstream is announced

  Scenario: An outlier of long ago needs enough reports again
    Given an outlier log
    When 2 hosts report u-1 4 times over 1 second
    And 8 seconds pass and 1 host reports u-1 once
    Then u-1 is announced once

  Scenario: An announcement expires
    Given an outlier log
    When 2 hosts report u-1 4 times over 1 second
    Then 4 seconds later a host that starts to watch gets no outlier

  Scenario: Control hosts pass on announcements of other control hosts to entry hosts only
    If they also sent them to each other, the announcements would circulate forever.

    Given an outlier log
    When another control host announces u-1
    Then an entry host gets u-1, a control host does not

  Scenario: An upstream that other hosts found slow is not preferred
    Given a router with a sweep over 1 shards of 3 upstreams each
    When other hosts found the upstream of its own zone slow
    Then none of the next 10 sweeps goes to the upstream of its own zone
    When 4 seconds pass
    Then the next sweep goes to the upstream of its own zone

  Scenario: Requests are still sent when all upstreams of a shard are outliers
    Given a router with a sweep over 1 shards of 3 upstreams each
    When other hosts found all upstreams slow
    Then a sweep is still sent and answered

  Scenario: A few hosts keep sending to an outlier first
    Otherwise no host would notice that it has recovered, or all would at once.

    Given 160 hosts that know that an upstream is slow
    Then between 3 and 20 of them still send to it first

  Scenario: A report about an earlier incarnation does not apply
    Given a router with a sweep over 1 shards of 3 upstreams each
    When other hosts found an earlier incarnation of the upstream of its own zone slow
    Then the next sweep goes to the upstream of its own zone

  Scenario: A host reports slow upstreams and those that reject with free slots
    Given a router with a sweep over 1 shards of 3 upstreams each
    When 20 sweeps take 12 ms and the next one 60 ms
    Then 1 slow upstream is reported
    When a sweep is rejected once with free slots
    Then 1 faulty upstream is reported

  Scenario: All entry hosts of the zone are told, by the control host of their zone
    Given control hosts in zones a, b and c, and 8 entry hosts in zone a
    When 2 entry hosts report u-1 4 times over 1 second
    Then within 1 second every entry host knows of outlier u-1
    And the control hosts of zones b and c told the entry hosts of no upstream
