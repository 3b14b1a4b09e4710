Feature: Logs tell why a request was not answered whole and on time

  Scenario Outline: Each request that went wrong has one cause
    An operator who has a caller's request id has to find the cause in the logs of
    many hosts. A cause that is told wrongly sends them to the wrong place.

    Given a log in which a sweep <story>
    When the log is asked about the sweep
    Then it ended <fate> by <cause>

    Examples:
      | story                                              | fate    | cause        |
      | is answered in full                                | on_time | none         |
      | arrives before the host has a table                | refused | starting     |
      | matches no route                                   | refused | no_route     |
      | crashed upstreams before                           | refused | convicted    |
      | lacks a shard out of reach                         | partial | out_of_reach |
      | lacks a shard that was hedged and slow             | partial | slow         |
      | lacks a shard that was slow and had no hedge       | partial | slow_alone   |
      | lacks a shard whose hedge had no token             | partial | no_budget    |
      | lost a reply and had no token for another          | failed  | no_budget    |
      | lost both replies of a shard                       | failed  | lost         |
      | is refused as two shards cannot be reached         | refused | out_of_reach |
      | is answered in full after a hedge, but late        | late    | slow         |
      | is left by its caller                              | left    | caller_left  |

  Scenario: The page tells what the host believed
    Given a log in which a sweep lacks a shard out of reach
    When the log is asked about the sweep
    Then the page names the host, its zone and the upstream out of reach

  Scenario: Logs of several hosts are collected in one
    Given a log in which two hosts' lines stand behind their names
    When the log is asked about the sweep
    Then each host has a page of its own

  Scenario: A log is cut short and has lines of others between
    Given a log in which a sweep is answered in full
    And lines that are no events stand between, and the last one is cut short
    When the log is asked about the sweep
    Then it ended on_time by none

  Scenario: A day is summed up
    Given a log of 3 sweeps answered in full and 2 that lack a shard out of reach
    When the log is summed up
    Then 5 requests are counted, and 2 of them lost 0.4375 each by out_of_reach

  Scenario: The command tells a request that no log names
    When the command is asked about request r-9 in an empty log
    Then it fails and says that no line names r-9
