Feature: Usage caps of teams over all hosts
  Every host counts a team's requests and reports them; control hosts add the reports
  up. No request waits for a message, so each fault must be survived with what a host
  knew last.

  Scenario: A team that floods all hosts stays within the tolerance of its limit
    77 hosts each admitted what they saw while their reports were on the way, and each
    went on up to a share that drifted: 285 requests ran where 245 are tolerated.
    Given 77 hosts and a team with 40 requests per second and a burst of 5
    When it sends seven times its usual rate for 6.5 s over all hosts
    Then no window exceeds the tolerance
    And no request within the limit is refused

  Scenario Outline: A fault neither lets a flood through nor refuses requests within
    Given 77 hosts and a team with 15 requests per second and a burst of 40
    When it sends <pattern> over <place> hosts while the fault is <fault>
    Then no window exceeds the tolerance
    And at most <refused> requests within the limit are refused

    Examples:
      | pattern  | place | fault           | refused |
      | flood    | all   | host_restart    | 0       |
      | flood    | few   | host_restart    | 0       |
      | steady   | one   | host_restart    | 0       |
      | flood    | all   | host_kill       | 0       |
      | steady   | few   | host_kill       | 0       |
      | flood    | all   | host_freeze     | 0       |
      | flood    | one   | host_freeze     | 0       |
      | pause    | all   | host_freeze     | 0       |
      | flood    | all   | host_cut_off    | 0       |
      | steady   | few   | host_cut_off    | 0       |
      | flood    | all   | zone_cut_off    | 0       |
      | steady   | all   | zone_cut_off    | 0       |
      | flood    | all   | control_restart | 0       |
      | steady   | all   | control_restart | 0       |
      | flood    | all   | control_kill    | 0       |
      | steady   | few   | control_kill    | 0       |

  Scenario: Random cases without a fault, or with a control host killed, stay within
    The cases draw hosts, limits and patterns. Both errors would go unnoticed in the few
    cases above: a sum above the tolerance, and a refusal within the limit.
    Then in 40 random cases with none or control_kill both bounds hold

  Scenario: Random cases with any fault stay within
    A flood that begins within seconds of a partition or a restart, or whose reports are
    lost or late, is not known to all hosts.
    Then in 40 random cases with any fault both bounds hold

  Scenario: A host that never had totals admits a share of its own
    A host that starts cut off would otherwise admit a whole limit.
    Given a host without totals among 9 hosts and a team with a limit of 100 requests
    When it offers 30 requests
    Then 12 of them are admitted

  Scenario: A control host that has just started is not believed
    Its sums cover few hosts, so that every host would admit nearly the whole target.
    Given a host whose totals show 200 requests of a team with a limit of 100 elsewhere
    When a control host that has just started reports none elsewhere
    And it offers 30 requests
    Then 0 of them are admitted

  Scenario: Totals that cover far fewer hosts than before are not used
    A control host that was cut off from the others answers with a part of the sums.
    Given a host whose totals show 200 requests of a team with a limit of 100 elsewhere
    When a control host that covers 2 hosts reports none elsewhere
    And it offers 30 requests
    Then 0 of them are admitted

  Scenario: A host that changes to another control host is counted once
    Sums that were exchanged counted it at both, and its team was refused half of its
    limit.
    Given a control host that got a report of host h1 with 40 requests from another one
    When host h1 reports 41 requests to it
    Then 41 requests are counted for host h2

  Scenario: A restarted host does not grant its share twice
    Given a control host that got a report of host h1 with 40 requests
    When host h1 restarts and reports 5 requests to it
    Then 45 requests are counted for host h2
    And 5 requests are counted for host h2 after 6 seconds of reports

  Scenario: A report that arrives late does not replace a newer one
    Given a control host that got a report of host h1 with 40 requests
    When an older report of host h1 arrives
    Then 40 requests are counted for host h2

  Scenario: The demand of a zone that is cut off stays counted
    Its hosts go on admitting their shares. Without it, both sides admit a whole limit.
    Given a control host that got reports of 30 hosts with 4 requests each
    When 10 of the hosts are silent for 20 seconds
    Then 116 requests are counted for host h29

  Scenario: Hosts that are cut off together fall silent one by one
    The first of two was taken for killed and given up before the second was silent, so
    that 51 requests ran above the tolerance.
    Given a control host that got reports of 5 hosts with 4 requests each
    When 2 of the hosts are silent for 20 seconds, the last reports 0.5 s apart
    Then 16 requests are counted for host h4

  Scenario: The demand of one host that was killed is given up after a window
    Given a control host that got reports of 30 hosts with 4 requests each
    When 1 of the hosts are silent for 20 seconds
    Then 112 requests are counted for host h29

  Scenario: A control host that restarted gets all reports again
    Given a control host that forwarded reports of 5 hosts to another one
    When the other one replies with the id of a new run
    Then 5 reports wait to be forwarded

  Scenario: A lost reply delays no report
    While the reply was waited for, 0.3 s passed in which other hosts learned nothing.
    Given an entry host with a team near its target that sent a report
    When no reply arrives
    Then the next report is due after 50 ms

  Scenario: A control host that does not answer is not the only one that gets reports
    Totals aged until another control host was followed, which took a second.
    Given an entry host with a team near its target that sent a report
    When no reply arrives for 0.3 seconds
    Then the next report goes to the followed control host and to another one

  Scenario: Requests of a host that restarted count until they leave the window
    They were taken to be spread evenly, so that its flood before the restart was
    counted less and less while all of it was still in the window.
    Given a control host whose report of host h1 has 40 requests admitted 3 seconds before
    When host h1 restarts and reports 5 requests to it
    Then 45 admitted requests are counted for host h2 after 1.4 seconds
    And 5 admitted requests are counted for host h2 after 2.6 seconds

  Scenario: Callers of a killed host are not counted there and where they went
    Their team was refused requests within its limit for a window.
    Given a control host that got reports of 2 hosts with 10 requests per second each
    When the first host is killed and its callers use the second for 2 seconds
    Then no more than 100 requests are counted over both

  Scenario: A flood that begins with a partition is assumed on its other side too
    Each side took the other's demand to stay as it was, and admitted a whole limit.
    Given a control host that got reports of 20 hosts with 1 request per second each
    When 10 of them are cut off and the others get 7 requests per second each for 3 seconds
    Then at least 300 requests are counted over all

  Scenario: Refused callers are told moments at which there is room for each
    Callers that were all told the same moment would meet a full window again.
    Given a host alone and a team with a limit of 100 requests
    When it offers 130 requests
    Then refused callers that return as told are admitted

  Scenario: Requests at one entry host count at another, through different control hosts
    Each host by itself would let the whole limit through.
    Given two entry hosts and three control hosts on loopback, with usage caps
    When a team sends 40 requests at the first entry host, of 30 that its limit has
    And it sends 40 more at the second entry host a second later
    Then all that ran are within the tolerance, and at least 30 ran
    And the refused requests got 429 with a Retry-After, and reached no upstream
    And one log line for each refused request names the team and both hosts' usage
    And the metrics name the refused team only
    And the entry hosts follow different control hosts

  Scenario: Reports go on while the control hosts have no leader
    Sums that needed the leader would end with it, and the second host would let a
    whole limit through.
    Given two entry hosts and three control hosts on loopback, with usage caps
    When a team sends 40 requests at the first entry host, of 30 that its limit has
    And the leader of the control hosts stops
    And it sends 20 more at the second entry host 2 seconds later
    Then all that ran are within the tolerance, and at least 30 ran

  Scenario: Without teams that have a rate nothing is reported
    Given two entry hosts and three control hosts on loopback, with usage caps
    When teams without a rate send 5 requests
    Then no usage was reported

  Scenario Outline: A setting of the caps is refused
    Given the platform's settings of a control host
    When the line <line> is added to the settings
    Then the settings are refused, naming <field>

    Examples:
      | line                    | field                |
      | bounds.quotaWindowS=0   | bounds.quotaWindowS  |
      | bounds.quotaWindowS=-1  | bounds.quotaWindowS  |
      | bounds.quotaOverage=x   | bounds.quotaOverage  |
      | bounds.quotaSlack=-2    | bounds.quotaSlack    |

  Scenario: A request that is refused for another reason does not count
    Given an entry host's router with a team that may send 2 requests in a window
    When the team sends 10 requests that no route matches, then one sweep
    Then the team's usage shows 1 request offered

  Scenario: A wall clock that steps does not open the window
    Given an entry host's router with a team that may send 2 requests in a window
    When the team sends 2 sweeps and the wall clock steps by 5 hours
    Then its next sweep is refused with 429, and one after the window is admitted
