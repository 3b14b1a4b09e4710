Feature: Entry hosts hear the news from one control host

  Hundreds of entry hosts that each hear every change from every control host send
  most of their bytes across the borders of zones, for news that they hold already.

  Scenario: News crosses the border of a zone once, not once a host
    Given control hosts in zones a, b and c, and 8 entry hosts in zone a
    When 40 upstreams announce themselves in zone b over 4 seconds
    Then within 2 seconds every entry host knows 40 upstreams
    And the control hosts of zones b and c told the entry hosts of no upstream

  Scenario: The control host of the own zone falls silent
    Given control hosts in zones a, b and c, and 8 entry hosts in zone a
    And 5 upstreams announce themselves in zone b over 1 second
    When the control host of zone a is cut off
    And an upstream of zone b drains
    Then within 3 seconds every entry host knows that it drains

  Scenario: The control host of the own zone goes on without the others
    It answers, but it says itself that it knows of no majority.

    Given control hosts in zones a, b and c, and 8 entry hosts in zone a
    And 5 upstreams announce themselves in zone b over 1 second
    When the control host of zone a loses touch with the others
    And an upstream of zone b drains
    Then within 3 seconds every entry host knows that it drains

  Scenario: The control host of the own zone lacks news without knowing it
    Given control hosts in zones a, b and c, and 8 entry hosts in zone a
    And 5 upstreams announce themselves in zone b over 1 second
    When the control host of zone a hears of no upstream any more
    And an upstream of zone b drains
    Then within 6 seconds every entry host knows that it drains

  Scenario: No control host is in touch with a majority
    Given control hosts in zones a, b and c, and 8 entry hosts in zone a
    And 5 upstreams announce themselves in zone b over 1 second
    When every control host loses touch with the others
    And an upstream of zone b drains
    Then within 3 seconds every entry host knows that it drains

  Scenario: A zone without a control host of its own
    Given control hosts in zones b, c and d, and 8 entry hosts in zone a
    When 40 upstreams announce themselves in zone b over 4 seconds
    Then within 2 seconds every entry host knows 40 upstreams
    And 1 control host told the entry hosts of upstreams

  Scenario: Every control host counts every entry host
    Each takes its share of bounds that hold for all of them together.

    Given control hosts in zones a, b and c, and 8 entry hosts in zone a
    When the fleet runs for 12 seconds
    Then every entry host knows of 8 entry hosts

  Scenario: An upstream that drains waits for no host that only compares
    Given control hosts in zones a, b and c, and 8 entry hosts in zone a
    And 5 upstreams announce themselves in zone b over 1 second
    When an upstream of zone b drains
    Then it is told within 0.5 seconds that it may leave

  Scenario: Rosters that hold the same have the same digest
    Given 2 rosters that heard of the same 20 upstreams in another order
    Then their digests are the same
    When the first hears a renewal of one upstream
    Then their digests are the same
    When the first hears that one upstream drains
    Then their digests differ
    When the second is told so
    Then their digests are the same

  Scenario Outline: More control hosts are each compared with less often
    Where 66 entry hosts compared with seven control hosts each three seconds, that was a
    sixth of the bytes between zones of a calm day.

    Then a host that does not follow <others> control hosts compares with each every <s> s

    Examples:
      | others | s   |
      | 2      | 3.0 |
      | 7      | 5.6 |
      | 17     | 6.0 |
