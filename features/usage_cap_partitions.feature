Feature: Usage caps on both sides of a network partition
  Neither side knows what the other admits, so each keeps to a part of the limit.

  Scenario Outline: A flood that begins after a zone was cut off stays within the limit
    Each side took the other's demand to be as before until its own had passed that of
    all hosts.
    Given 77 hosts and a team with 40 requests per second and a burst of 10
    When it floods them <seconds> s after a zone was cut off from 6 control hosts
    Then no window exceeds the tolerance
    And at most <refused> requests within the limit are refused

    Examples:
      | seconds | refused |
      | 1       | 0       |
      | 2       | 0       |
      | 4       | 20      |

  Scenario: A flood begins as a zone is cut off
    It takes most of a second to tell silent hosts from late reports.
    Given 77 hosts and a team with 40 requests per second and a burst of 10
    When it floods them 0 s after a zone was cut off from 6 control hosts
    Then no window exceeds the tolerance

  Scenario Outline: Both sides of a partition together keep to the limit
    Hosts that are cut off together are noticed one by one.
    Given a control host that heard 77 hosts with <here> and <there> requests of a team
    When it loses contact with <lost> of the hosts and with other control hosts
    Then a share of <share> of the team's limit is reserved

    Examples:
      | here | there | lost | share |
      | 60   | 40    | 25   | 0.393 |
      | 40   | 60    | 52   | 0.607 |
      | 0    | 0     | 25   | 0.325 |

  Scenario: Hosts that are silent while all control hosts answer get no reserve
    They have stopped or are frozen: no control host hands out totals to them.
    Given a control host that heard 77 hosts with 60 and 40 requests of a team
    When it loses contact with 25 of the hosts
    Then a share of 0 of the team's limit is reserved

  Scenario: Totals are not settled right after a control host was isolated
    It would reserve the limits for hosts that it has not heard again yet.
    Given a control host that heard 77 hosts with 60 and 40 requests of a team
    When it loses contact with 77 of the hosts and with other control hosts
    And one of the hosts reports to it again
    Then its totals are not settled
