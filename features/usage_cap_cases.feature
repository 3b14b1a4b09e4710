Feature: Usage caps in simulated cases that went wrong
  The cases are those of tools/usage_cap_cases.py. In each, a sum went above the
  tolerance or a request within the limit was refused.

  Scenario Outline: Cases that <went wrong> stay within both bounds
    Each row has another cause.
    Then the cases with seeds <seeds> stay within both bounds

    Examples:
      | went wrong                                  | seeds                             |
      | went over while a lost reply was waited for | 133, 291, 374, 479, 641           |
      | went over as reports were lost              | 1029, 1098, 1148, 1193, 1273      |
      | went over as a flood's reports were lost    | 1584, 1671, 1770, 1854, 1923      |
      | refused as the first replies were lost      | 53, 101, 105, 155, 300            |
      | went over as totals were older than known   | 249, 319, 416, 806, 837, 887      |
      | went over as late totals hid a flood        | 923, 983, 1063, 1189, 1335        |
      | refused as the first totals were late       | 356, 407, 560, 844, 852, 1243     |
      | refused as a killed host's demand stayed    | 355, 1083, 1391, 1733             |
      | went over as a restarted host forgot        | 1124, 1155                        |
      | refused as an earlier run was overcounted   | 224, 399, 620                     |
      | went over with a control host restarted     | 1803                              |
      | refused as a restart was not believed       | 500                               |
      | went over with a flood in a partition       | 1357, 1888                        |
      | refused as callers moved in a partition     | 100, 346, 576, 1339, 1603, 1689   |
      | refused as a cut-off host kept a flood      | 503                               |
      | went over with 77 hosts and no fault        | 1629                              |
      | refused as a backlog looked like growth     | 10556, 11034                      |
      | refused after a freeze of over a window     | 11454                             |
      | went over after a freeze of over a window   | 10413, 11370                      |
      | refused as a burst was leaving the window   | 11275, 11578, 11911               |

  Scenario: Late totals hide the first half second of a flood
    Then the cases with seeds 102, 161, 1553 stay within both bounds

  Scenario: Requests that come all at once look like a flood while totals are late
    Then the cases with seeds 1213 stay within both bounds

  Scenario: Requests that come all at once after a pause look like a flood without a fault
    Then the cases with seeds 10180, 11623 stay within both bounds

  Scenario: A host without totals refuses requests that come all at once
    Then the cases with seeds 679 stay within both bounds

  Scenario: A flood begins while a control host restarts
    Then the cases with seeds 972 stay within both bounds

  Scenario: A killed host's demand is counted after its callers moved
    Then the cases with seeds 799, 1088, 1493, 1627 stay within both bounds

  Scenario: A host without power is counted after its callers moved
    Its connections are not closed, as those of a process that ends are.
    Then the cases without power with seeds 799, 1088, 1493, 1627 stay within both bounds

  Scenario: A restarted host's earlier requests are taken to be spread evenly
    Then the cases with seeds 1886, 1893 stay within both bounds

  Scenario: A host that wakes from a freeze refuses until its first reply
    Then the cases with seeds 732, 832, 1314 stay within both bounds

  Scenario: A frozen host is taken to go on admitting while the limit is halved
    Then the cases with seeds 10507 stay within both bounds

  Scenario: A frozen host is taken to go on admitting while a flood begins
    Then the cases with seeds 20135, 20429, 20612, 20803 stay within both bounds

  Scenario: Requests that came all at once leave the window while another fault hides it
    Then the cases with seeds 10344, 10422, 10573, 11657, 11959 stay within both bounds

  Scenario: One of few hosts is cut off for longer than a window
    Then the cases with seeds 840, 1233, 1437 stay within both bounds

  Scenario: A zone is cut off within a second of a flood's beginning
    Then the cases with seeds 1040 stay within both bounds

  Scenario: A pause ends on both sides of a partition
    Then the cases with seeds 61 stay within both bounds
