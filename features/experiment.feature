Feature: Policies are weighed in simulated time

  Scenario: One slot and fixed work
    Twenty callers come at one moment to one upstream of one slot. Each waits for
    those before it, which can be worked out by hand.

    Given a simulated upstream of 1 slot and a queue of 18 for work of 10 ms
    When 20 jobs arrive at once
    Then 19 end 10 ms apart from 10 ms on, and 1 is rejected

  Scenario: An upstream pauses
    Given a simulated upstream that stands still for 100 ms each 1000 ms from its start
    Then work of 50 ms that begins at 0 ms ends at 150 ms
    And work of 50 ms that begins at 500 ms ends at 550 ms
    And work of 50 ms that begins at 970 ms ends at 1120 ms

  Scenario: Events come in order
    Given events at any moments
    Then they are called in the order of their moments, and of their asking

  Scenario: The same seed gives the same bytes
    Given the environment small
    When its troubled day is played twice with seed 3
    Then both results are the same bytes

  Scenario: The same seed gives the same bytes in every process
    The upstreams of a service stood in a set of strings, whose order differs from
    process to process. Each choice draws a number for every one of them in that
    order, so the same seed placed the same requests elsewhere, and two policies that
    were compared differed by more than their policy.

    Given the environment small
    When its troubled day is played in 3 processes that hash differently
    Then all results are the same bytes

  Scenario: Two policies meet the same callers
    Given the environment small
    When its calm day is played with and without hedging
    Then the callers' kinds, zones and moments are the same

  Scenario: A zone is cut off
    Exactly its callers lose, those of other zones are served as before.

    Given an environment of two zones whose second has no upstreams
    When its day is played in which the second zone is cut off for 4 seconds
    Then only callers of the second zone are refused, and in those seconds alone

  Scenario Outline: A router that breaks a promise is caught
    Given the environment small
    And a wrong router that <wrong>
    When its troubled day is played with seed 1
    Then the run ends and tells <promise> and the seed

    Examples:
      | wrong                       | promise                                |
      | keeps no budget             | more extra attempts than its budget    |
      | sends to all upstreams      | on more upstreams than its attempts    |
      | sends orders to all upstreams | that may run once ran twice           |
      | tells a false coverage      | a coverage that is not true            |
      | answers twice               | answered twice                         |
      | refuses what has run        | refused as not run and had run         |

  Scenario: A declared environment has mistakes
    All of them are told at once, each with its place.

    Given an environment with an unknown field, an impossible share and an unknown zone
    Then reading it tells all three with their places

  Scenario: A drawn environment is played
    Given the environment that is drawn by 7
    When its calm day is played with seed 1
    Then callers got more than 0.9 of their worth

  Scenario Outline: A mechanism is worth what it was kept for
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

  Scenario Outline: A mechanism is worth it where each host gets few sweeps
    Given the environment crowd
    When its <day> day is played with 2 seeds with and without <mechanism>
    Then callers got at least <gain> more of their worth with it

    Examples:
      | mechanism    | day      | gain  |
      | sharing      | slow     | 0.02  |
      | lending      | shedding | 0.005 |
      | asking_again | shedding | 0.005 |

  Scenario: The commands
    When the experiment command run small --day calm --seeds 1 --json is given
    Then it prints one result of the calm day as JSON
    When the experiment command compare small small:hedging --seeds 2 --json is given
    Then it prints one difference as JSON
    When the experiment command run nowhere --seeds 1 is given
    Then it fails with environment_invalid
    When the experiment command draw 5 is given
    Then what it prints is an environment

  Scenario: The page is made of the results alone
    Given the environment small
    When its calm day is played twice with seed 1
    And a page is made of each
    Then both pages are the same, hold two plots and ask for nothing elsewhere
