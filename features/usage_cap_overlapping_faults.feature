Feature: Usage caps while faults hit many hosts, or several at once
  The cases are those of tools/usage_cap_cases.py --overlapping. In each, a sum went above
  the tolerance.

  Scenario: A flood is counted while control hosts do not reach each other
    Each counted the hosts that reported to it and estimated the others.
    Then the overlapping cases with seeds 488, 682, 1265, 1302, 1317, 1408 stay within both bounds

  Scenario: A flood is counted while no control host answers
    It is a few requests at each host, less than chance explains.
    Then the overlapping cases with seeds 23, 337, 467, 641, 901, 1075 stay within both bounds

  Scenario: A flood is counted at entry hosts that reach no control host
    The control hosts estimated what such hosts admit, and these what all others do.
    Then the overlapping cases with seeds 193, 476, 728, 940, 1058, 1140, 1178 stay within both bounds

  Scenario: A flood begins within half a second of the loss of contact
    Until reports stay unanswered for 0.3 s, hosts go on with their last totals.
    Then the overlapping cases with seeds 220, 537 stay within both bounds

  Scenario: Hosts of a flood wake from a freeze at the same time
    What waited in their sockets is admitted before a reply arrives.
    Then the overlapping cases with seeds 50035, 50180 stay within both bounds

  Scenario: A substitute passes reports on while a control host answers it
    Otherwise a host that reaches other entry hosts only would not know of most of them.
    Given an entry host that a control host answers, and one that none answers
    When the second reports 5 requests to the first as its substitute
    Then the control host counts 5 requests of the second
    And the end of the first is not taken for the end of the second

  Scenario: Requests that left the window are not counted when control hosts fail again
    Given an entry host that was a substitute for a report of 5 requests
    When another host reports 2 requests to it 6 seconds later
    Then a third host is told of 2 requests

  Scenario: Entry hosts count requests among themselves while no control host answers
    Each would let a whole limit through.
    Given two entry hosts that reach each other and three control hosts, with usage caps
    When a team has a limit and all control hosts stop
    And it sends 40 requests at each entry host
    Then all that ran are within the tolerance, and at least 30 ran

  Scenario: Each part of the control hosts gets the reports of all entry hosts
    Given an entry host that follows c0 of the control hosts c0, c1, c2, c3
    When c0 replies that it does not reach c2, c3
    And c2 replies that it does not reach c0, c1
    Then its reports go to c0, c2

  Scenario: Every part gets the reports if control hosts fall into three parts
    Given an entry host that follows c0 of the control hosts c0, c1, c2, c3
    When c0 replies that it does not reach c1, c2, c3
    And c1 replies that it does not reach c0, c3
    And c3 replies that it does not reach c0, c1, c2
    Then its reports go to c0, c1, c3

  Scenario: An unreachable control host that does not answer does not hide the others
    Its reports would all go to a control host that has stopped.
    Given an entry host that follows c0 of the control hosts c0, c1, c2, c3
    When c0 replies that it does not reach c2, c3
    Then its reports alternate between c2, c3, and always go to c0

  Scenario: One control host gets the reports again after a partition has ended
    Given an entry host that follows c0 of the control hosts c0, c1, c2, c3
    When c0 replies that it does not reach c2, c3
    And c0 replies that it reaches all
    Then its reports go to c0

  Scenario: Reports go to a control host that answers while all are followed
    They went to the first one only, and hosts of a zone that was cut off got no totals.
    Given an entry host that follows all control hosts, c0, c1, c2, c3
    When no control host has answered its reports for 0.3 s
    Then its reports go to c0, and to each other control host in turn
    When c2 answers the next report
    Then its reports go to c2 while it answers

  Scenario: A substitute passes reports on to the control host that answers it
    The first one that is followed may be the one that is out of reach.
    Given an entry host that follows all control hosts, c0, c1, c2, c3
    When no control host has answered its reports for 0.3 s
    And c2 answers the next report
    Then reports that it relays go to c2
