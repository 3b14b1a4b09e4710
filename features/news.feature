Feature: Entry hosts receive roster updates from one control host

  If each of hundreds of entry hosts received every change from every control host,
  most of the bytes between zones would be updates that they hold already.

  Scenario: An update crosses a zone boundary once instead of once for each host
    Given control hosts in zones a, b and c, and 8 entry hosts in zone a
    When 40 upstreams announce themselves in zone b over 4 seconds
    Then within 2 seconds every entry host knows 40 upstreams
    And the control hosts of zones b and c told the entry hosts of no upstream

  Scenario: The control host of the own zone stops responding
    Given control hosts in zones a, b and c, and 8 entry hosts in zone a
    And 5 upstreams announce themselves in zone b over 1 second
    When the control host of zone a is partitioned
    And an upstream of zone b drains
    Then within 3 seconds every entry host knows that it drains

  Scenario: The control host of the own zone loses contact with the others
    It still responds, but reports that it has no contact with a majority.

    Given control hosts in zones a, b and c, and 8 entry hosts in zone a
    And 5 upstreams announce themselves in zone b over 1 second
    When the control host of zone a loses contact with the others
    And an upstream of zone b drains
    Then within 3 seconds every entry host knows that it drains

  Scenario: The control host of the own zone misses updates without detecting it
    Given control hosts in zones a, b and c, and 8 entry hosts in zone a
    And 5 upstreams announce themselves in zone b over 1 second
    When the control host of zone a stops receiving entries
    And an upstream of zone b drains
    Then within 6 seconds every entry host knows that it drains

  Scenario: No control host is in contact with a majority
    Given control hosts in zones a, b and c, and 8 entry hosts in zone a
    And 5 upstreams announce themselves in zone b over 1 second
    When every control host loses contact with the others
    And an upstream of zone b drains
    Then within 3 seconds every entry host knows that it drains

  Scenario: A zone without a control host of its own
    Given control hosts in zones b, c and d, and 8 entry hosts in zone a
    When 40 upstreams announce themselves in zone b over 4 seconds
    Then within 2 seconds every entry host knows 40 upstreams
    And 1 control host sent upstreams to the entry hosts

  Scenario: Every control host counts every entry host
    Each entry host takes its share of limits that hold for all of them together.

    Given control hosts in zones a, b and c, and 8 entry hosts in zone a
    When 12 seconds pass for control and entry hosts
    Then every entry host has a count of 8 entry hosts

  Scenario: A draining upstream does not wait for hosts that only compare digests
    Given control hosts in zones a, b and c, and 8 entry hosts in zone a
    And 5 upstreams announce themselves in zone b over 1 second
    When an upstream of zone b drains
    Then its announcement is answered within 0.5 seconds

  Scenario: Rosters with the same entries have the same digest
    Given 2 rosters that received the same 20 upstreams in a different order
    Then their digests are the same
    When the first receives a renewal of one upstream
    Then their digests are the same
    When the first receives the draining of one upstream
    Then their digests differ
    When the second receives the same draining
    Then their digests are the same

  Scenario Outline: Each control host is compared with less often if there are more
    With 66 entry hosts that compared digests with seven control hosts every three
    seconds, that was a sixth of the bytes between zones on a calm day.

    Then a host that does not follow <others> control hosts compares with each every <s> s

    Examples:
      | others | s   |
      | 2      | 3.0 |
      | 7      | 5.6 |
      | 17     | 6.0 |
