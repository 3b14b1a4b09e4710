Feature: A rollout limits the requests to a bad version and finishes in time with a good one

  Simulated with as many hosts as the users have, with the real routing policy, pooling
  of reports, verdict and phases; only the simulation knows which version is bad.

  Scenario Outline: A bad version is rolled back after few requests
    Given a rollout of a version that <is bad>, with <hosts> hosts and <rate> requests a second
    When it is simulated with 10 seeds
    Then it is rolled back each time
    And the version never gets more requests than allowed
    And it gets none later than 5 seconds after its 50th bad answer

    Examples:
      | is bad                    | hosts | rate |
      | fails half of its answers | 9     | 90   |
      | fails half of its answers | 66    | 50   |
      | fails half of its answers | 194   | 30   |
      | is four times slower      | 66    | 50   |
      | turns bad after 3 seconds | 66    | 50   |
      | is bad on one route       | 66    | 50   |
      | fails under load          | 9     | 90   |

  Scenario Outline: A good version is in service within its time
    Given a rollout of a version that <is good>, with <hosts> hosts and 50 requests a second
    When it is simulated with 10 seeds
    Then it is done each time, within <percent> percent of its duration
    And no connected host then has a request at an old upstream

    Examples:
      | is good                            | hosts | percent |
      | is as good as the old one          | 9     | 80      |
      | is as good as the old one          | 66    | 80      |
      | is as noisy as the old one         | 66    | 80      |
      | has one slow upstream              | 66    | 100     |
      | is unknown to a tenth of the hosts | 66    | 100     |
