Feature: Extra attempts stay within a limit shared by all hosts

  A service takes a share of its requests as extra attempts, plus a burst, in any 10
  seconds, summed over all entry hosts. The hosts do not ask each other before each
  attempt.

  Scenario Outline: The limit holds when every host wants more than its share
    Upstreams that are slow for seconds cause a hedge for nearly each request. Without a
    limit the hedges alone would fill them.

    Given <hosts> hosts share a burst of <burst> and a ratio of 0.2
    When each gets <rate> requests a second for 40 seconds and tries to hedge each
    Then no 10 seconds contain more extra attempts than the limit

    Examples:
      | hosts | burst | rate |
      | 8     | 56    | 10   |
      | 87    | 198   | 1    |
      | 87    | 198   | 4    |
      | 1     | 20    | 50   |

  Scenario: Each host gets its share of the burst again in every window
    The share of one host among many is two attempts. If it was granted once instead of
    in each window, the host could not hedge a few stragglers, and its callers would get
    late answers although the limit is far away.

    Given 87 hosts share a burst of 198 and a ratio of 0.2
    When each gets 1 request a second for 40 seconds and tries to hedge each
    Then each host sent at least 3 extra attempts in each of the last three periods of 11 seconds

  Scenario: The limit holds when all hosts are killed and restart at once
    None of them remembers the attempts that it sent a moment ago.

    Given 8 hosts share a burst of 56 and a ratio of 0.2
    When each gets 10 requests a second for 20 seconds and tries to hedge each
    And all hosts are killed and restart
    And each gets 10 requests a second for 20 seconds and tries to hedge each
    Then no 10 seconds contain more extra attempts than the limit

  Scenario: Less urgent requests leave a share of the budget to urgent ones
    Given 1 hosts share a burst of 20 and a ratio of 0.0
    When less urgent requests spend all the budget available to them
    Then budget is left for an urgent one

  Scenario: Idle hosts lend budget to a host with many requests
    Given 8 hosts share a burst of 56 and a ratio of 0.2
    When one of them needs 30 extra attempts at once and borrows what it lacks
    Then it can send at least 28 of them
    And no 10 seconds contain more extra attempts than the limit

  Scenario: The limit holds while hosts lend to each other
    Some loans are lost on their way, others are used as late as they may be.

    Given 8 hosts share a burst of 56 and a ratio of 0.2
    When each needs more than its share for 60 seconds and borrows from a random one
    Then no 10 seconds contain more extra attempts than the limit

  Scenario: An expired loan is not used
    Given 2 hosts share a burst of 4 and a ratio of 0.0
    When one borrows an attempt and needs it after 0.6 seconds
    Then it has no budget for it

  Scenario: A shard that all replicas rejected at first is retried
    They reject with free slots, so the next request may be accepted. If the shard
    was given up after three attempts, a few such shards would fail the whole sweep.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When a sweep arrives and its first 4 attempts are rejected with free slots
    Then its fifth attempt goes to an upstream that rejected it, and it is answered

  Scenario: A shard whose upstreams are full is not retried
    Given a router with a sweep over 1 shards of 3 upstreams each
    When a sweep arrives and its first 3 attempts are rejected with all slots taken
    Then no further attempt is sent and the request is refused with incomplete

  Scenario: A host without budget borrows for the shards that were rejected
    Given a router without budget, in a zone with 3 other hosts, and a sweep over 4 shards
    When a sweep arrives and its first attempts are rejected with free slots
    Then one host is asked to lend for 4 shards at once
    When it lends for 3 of them
    Then 3 shards are retried, and another host is asked to lend for the fourth
    When no host lends for as long as a shard waits
    Then the request is answered with 3 parts

  Scenario: A sweep is refused if no host lends
    Given a router without budget, in a zone with 3 other hosts, and a sweep over 4 shards
    When a sweep arrives and its first attempts are rejected with free slots
    And each host that is asked to lend refuses
    Then the request is refused with incomplete

  Scenario: A hedge without budget is sent with a loan if the sweep lacks coverage
    Without it the sweep would wait until its deadline for upstreams that may never
    answer, and end with an error though other hosts had budget left.

    Given a router without budget, in a zone with 3 other hosts, and a sweep over 4 shards
    When a sweep arrives and 2 of its shards have no reply when they are hedged
    Then one host is asked to lend for 2 shards at once
    When it lends for 1 of them
    Then 1 shard is hedged, and the sweep is answered with 3 parts in time

  Scenario: A hedge without budget is not sent with a loan for the last shards
    A loan would take budget from hosts whose sweeps need it for an answer at all.

    Given a router without budget, in a zone with 3 other hosts, and a sweep over 4 shards
    When a sweep arrives and 1 of its shards have no reply when they are hedged
    Then no host is asked to lend

  Scenario: A request whose caller left borrows nothing
    Its shards wait for a loan. If they still counted, other hosts would lend attempts
    that nobody needs, and lack them themselves.

    Given a router without budget, in a zone with 3 other hosts, and a sweep over 4 shards
    When a sweep arrives, its first attempts are rejected and its caller leaves
    Then no host is asked to lend
