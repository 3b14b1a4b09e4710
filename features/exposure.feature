Feature: What a bad version of a service's software costs, and how long a good one takes

  Played in simulated time at as many hosts as the users have, by the real policy, pooling
  of reports, verdict and phases; the judge alone knows which version is bad.

  Scenario Outline: A bad version is found while few requests have met it
    Given a roll-out of a version that <is bad> at <hosts> hosts, <rate> requests a second
    When it is played with 10 seeds
    Then it is rolled back each time
    And it gets more requests than allowed in none of them
    And none later than 5 seconds after its 50th bad answer

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
    Given a roll-out of a version that <is good> at <hosts> hosts, 50 requests a second
    When it is played with 10 seeds
    Then it is done each time, within <percent> in 100 of its time
    And no request of a host in contact is at an old upstream then

    Examples:
      | is good                              | hosts | percent |
      | is as good as the old one            | 9     | 80      |
      | is as good as the old one            | 66    | 80      |
      | is as noisy as the old one           | 66    | 80      |
      | has one upstream that is slow        | 66    | 100     |
      | a tenth of the hosts hear nothing of | 66    | 100     |
