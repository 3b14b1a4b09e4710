Feature: Attempts beyond the first stay within a bound over all hosts

  A service bears a share of its requests and a burst more in any 10 seconds, summed
  over all entry hosts. They do not ask each other before each attempt.

  Scenario Outline: Every host wants more than it may have
    Upstreams that are slow for seconds draw a hedge for nearly each request. Without
    a bound the hedges alone would fill them.

    Given <hosts> hosts share a burst of <burst> and a ratio of 0.2
    When each gets <rate> requests a second for 40 seconds and wants a hedge for each
    Then no 10 seconds hold more extra attempts than the bound

    Examples:
      | hosts | burst | rate |
      | 8     | 56    | 10   |
      | 87    | 198   | 1    |
      | 87    | 198   | 4    |
      | 1     | 20    | 50   |

  Scenario: A host among many meets a few stragglers
    Its part of the burst is two attempts. Given out once, instead of anew in each
    window, they leave its callers with late answers though the bound is far.

    Given 87 hosts share a burst of 198 and a ratio of 0.2
    When each gets 1 request a second for 40 seconds and wants a hedge for each
    Then each host has spent at least 3 in each of the last three 11 seconds

  Scenario: All hosts are killed and start again at once
    None remembers what it spent a moment ago.

    Given 8 hosts share a burst of 56 and a ratio of 0.2
    When each gets 10 requests a second for 20 seconds and wants a hedge for each
    And all hosts are killed and start again
    And each gets 10 requests a second for 20 seconds and wants a hedge for each
    Then no 10 seconds hold more extra attempts than the bound

  Scenario: The less urgent leave a part to the urgent
    Given 1 hosts share a burst of 20 and a ratio of 0.0
    When less urgent requests spend all that they may
    Then an urgent one still finds room

  Scenario: Hosts that have no requests lend to one that has many
    Given 8 hosts share a burst of 56 and a ratio of 0.2
    When one of them wants 30 extra attempts at once and borrows what it lacks
    Then it gets at least 28 of them
    And no 10 seconds hold more extra attempts than the bound

  Scenario: Hosts that lend each other stay within the bound
    Some loans are lost on their way, others are used as late as they may.

    Given 8 hosts share a burst of 56 and a ratio of 0.2
    When each wants more than it has for 60 seconds and borrows from a random one
    Then no 10 seconds hold more extra attempts than the bound

  Scenario: A loan that is too old is not used
    Given 2 hosts share a burst of 4 and a ratio of 0.0
    When one borrows an attempt and wants it after 0.6 seconds
    Then there is no room for it

  Scenario: All replicas of a shard reject at first
    They reject with slots free, so that the next request may be taken. To give the
    shard up with three tries would lose the whole sweep for a few such shards.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When a sweep arrives and its first 4 attempts are rejected with slots free
    Then its fifth attempt goes to an upstream that rejected it, and it is answered

  Scenario: A shard whose upstreams are full is not asked again
    Given a router with a sweep over 1 shards of 3 upstreams each
    When a sweep arrives and its first 3 attempts are rejected with all slots taken
    Then no further attempt is sent and the request is refused with incomplete

  Scenario: A host without room borrows for the shards that were rejected
    Given a router without any budget, in a zone with 3 others, and a sweep over 4 shards
    When a sweep arrives and its first attempts are rejected with slots free
    Then one host is asked to lend for 4 shards at once
    When it lends for 3 of them
    Then 3 shards are asked again, and another host is asked for the fourth
    When nothing is lent for as long as a shard waits
    Then the request is answered with 3 parts

  Scenario: Nobody lends
    Given a router without any budget, in a zone with 3 others, and a sweep over 4 shards
    When a sweep arrives and its first attempts are rejected with slots free
    And each host that is asked lends nothing
    Then the request is refused with incomplete
