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
