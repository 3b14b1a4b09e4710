Feature: Logs explain why a request was not answered completely and on time

  Scenario Outline: Each failed request has one cause
    An operator who has a caller's request id must find the cause in the logs of
    many hosts. A wrong cause makes them search in the wrong place.

    Given a log in which a sweep <case>
    When the sweep is looked up in the log
    Then its outcome is <outcome> and its cause <cause>

    Examples:
      | case                                               | outcome | cause        |
      | is answered completely                             | on_time | none         |
      | arrives before the host has a route table          | refused | starting     |
      | matches no route                                   | refused | no_route     |
      | has an unknown key                                 | refused | unauthorized |
      | arrives after the key lease expired                | refused | no_key_lease |
      | loses the key lease before its attempts are sent   | refused | no_key_lease |
      | misses a shard that the key lease kept from a hedge | partial | no_key_lease |
      | crashed upstreams before                           | refused | convicted    |
      | is above its team's limit over all hosts           | refused | above_limit  |
      | misses an unreachable shard                        | partial | out_of_reach |
      | misses a shard that was hedged and slow            | partial | slow         |
      | misses a shard that was slow and not hedged        | partial | slow_alone   |
      | misses a shard whose hedge had no budget           | partial | no_budget    |
      | lost a reply and had no budget for a retry         | failed  | no_budget    |
      | lost both replies of a shard                       | failed  | lost         |
      | is refused as too many shards are missing          | refused | out_of_reach |
      | is refused as two shards have no upstream that answers | refused | out_of_reach |
      | is answered completely after a hedge, but late     | late    | slow         |
      | is abandoned by its caller                         | left    | caller_left  |

  Scenario: The report shows what the host knew
    Given a log in which a sweep misses an unreachable shard
    When the sweep is looked up in the log
    Then the report names the host, its zone and the unreachable upstream

  Scenario: The report shows since when the host had no key lease
    Given a log in which a sweep arrives after the key lease expired
    When the sweep is looked up in the log
    Then the report says that the host was without a key lease for 800 ms

  Scenario: The report shows since when the host heard from no control host
    Given a log in which a sweep matches no route of an old configuration
    When the sweep is looked up in the log
    Then its outcome is refused and its cause no_route
    And the report says that the host was without contact for 15000 ms

  Scenario: Logs of several hosts are merged into one
    Given a log in which each line of two hosts is prefixed with the host name
    When the sweep is looked up in the log
    Then each host has a report of its own

  Scenario: A log contains foreign lines and ends in a truncated line
    Given a log in which a sweep is answered completely
    And lines that are no events are mixed in, and the last one is truncated
    When the sweep is looked up in the log
    Then its outcome is on_time and its cause none

  Scenario: A day of requests is summarized
    Given a log of 3 sweeps answered completely and 2 that miss an unreachable shard
    When the log is summarized
    Then 5 requests are counted, and 2 of them lost 0.4375 each due to out_of_reach

  Scenario: The command fails for a request that is not in the log
    When the command looks up request r-9 in an empty log
    Then it fails and reports that no line names r-9
