Feature: Routing policies are compared in simulated time

  Scenario: One slot and constant work
    Twenty callers arrive at the same time at one upstream with one slot. Each
    waits for those before it, so the expected times can be computed by hand.

    Given a simulated upstream of 1 slot and a queue of 18 for work of 10 ms
    When 20 jobs arrive at once
    Then 19 end 10 ms apart from 10 ms on, and 1 is rejected

  Scenario: An upstream pauses periodically
    Given a simulated upstream that pauses for 100 ms each 1000 ms from its start
    Then work of 50 ms that begins at 0 ms ends at 150 ms
    And work of 50 ms that begins at 500 ms ends at 550 ms
    And work of 50 ms that begins at 970 ms ends at 1120 ms

  Scenario: Events are processed in order
    Given events at arbitrary times
    Then they are called in the order of their times, then of their scheduling

  Scenario: The same seed gives the same bytes
    Given the environment small
    When its troubled day is played twice with seed 3
    Then both results are the same bytes

  Scenario: The same seed gives the same bytes in every process
    The upstreams of a service were kept in a set of strings, whose order differs
    between processes. Each choice draws a random number per upstream in that order,
    so the same seed routed the same requests differently, and two compared policies
    differed by more than their policy.

    Given the environment small
    When its troubled day is played in 3 processes that hash differently
    Then all results are the same bytes

  Scenario: Two policies receive the same requests
    Given the environment small
    When its calm day is played with and without hedging
    Then the callers' kinds, zones and times are the same

  Scenario: A zone is cut off
    Exactly its callers fail; callers of other zones are served as before.

    Given an environment of two zones whose second has no upstreams
    When its day is played in which the second zone is cut off for 4 seconds
    Then only callers of the second zone are refused, and only in those seconds

  Scenario Outline: A router that violates an invariant is detected
    Given the environment small
    And a faulty router that <fault>
    When its troubled day is played with seed 1
    Then the run stops and reports <message> and the seed

    Examples:
      | fault                       | message                                |
      | ignores its budget          | more extra attempts than its budget    |
      | sends to all upstreams      | on more upstreams than its attempts    |
      | sends orders to all upstreams | that may run once ran twice           |
      | reports a false coverage    | a coverage that is not true            |
      | answers twice               | answered twice                         |
      | refuses what has run        | refused as not run and had run         |

  Scenario: A declared environment has several errors
    All of them are reported at once, each with its location.

    Given an environment with an unknown field, an impossible share and an unknown zone
    Then reading it reports all three with their locations

  Scenario: A generated environment can be simulated
    Given the environment that is generated from seed 7
    When its calm day is played with seed 1
    Then callers got more than 0.9 of their worth

  Scenario Outline: A mechanism still provides the gain that justifies it
    Given the environment small
    When its <day> day is played with 2 seeds with and without <mechanism>
    Then callers got at least <gain> more of their worth with it

    Examples:
      | mechanism       | day      | gain |
      | hedging         | troubled | 0.02 |
      | partial_answers | heavy    | 0.02 |
      | sending_away    | troubled | 0.002 |
      | probing         | troubled | 0.005 |
      | pace            | troubled | 0.01 |
      | overdue         | heavy    | 0.005 |

  Scenario Outline: A mechanism provides a gain where each host gets few sweeps
    Given the environment crowd
    When its <day> day is played with 2 seeds with and without <mechanism>
    Then callers got at least <gain> more of their worth with it

    Examples:
      | mechanism    | day      | gain  |
      | sharing      | slow     | 0.02  |
      | lending      | shedding | 0.005 |
      | asking_again | shedding | 0.005 |

  Scenario: The commands print their results
    When the experiment command run small --day calm --seeds 1 --json is given
    Then it prints one result of the calm day as JSON
    When the experiment command compare small small:hedging --seeds 2 --json is given
    Then it prints one difference as JSON
    When the experiment command run nowhere --seeds 1 is given
    Then it fails with environment_invalid
    When the experiment command draw 5 is given
    Then its output is a valid environment

  Scenario: The HTML report depends only on the results
    Given the environment small
    When its calm day is played twice with seed 1
    And a report is rendered from each
    Then both reports are the same, contain two plots and load nothing external
