Feature: An entry host knows whether it hears from the control hosts

  Scenario: A host that hears from no control host reports it
    It goes on with the configuration that it has, and nothing in that configuration
    shows that it is old.

    Given an entry host that holds revision 7 and hears from a control host
    When 4 seconds pass without a reply
    Then it reports that it lost contact at revision 7

  Scenario: A control host that reaches no majority is no contact
    A control host that was cut off goes on replying with the state that it had.

    Given an entry host that holds revision 7 and hears from a control host
    When 4 seconds pass with replies of a control host that reaches no majority
    Then it reports that it lost contact at revision 7

  Scenario: A host reports that it hears from a control host again
    Given an entry host that holds revision 7 and hears from a control host
    When 4 seconds pass without a reply
    And a control host with revision 9 replies
    Then it reports that it regained contact, with 9 as the newest revision

  Scenario Outline: Whether others serve callers better than a host without contact
    If the control hosts are down, no entry host hears from them, and refusing callers
    would leave them without any host.

    Given an entry host that holds revision 7 and hears from a control host
    When 9 seconds pass without a reply, and the other entry hosts <answer>
    Then the entry host counts as isolated: <isolated>

    Examples: answers
      | answer                             | isolated |
      | hear from a control host           | yes      |
      | do not hear from a control host    | no       |
      | do not answer                      | yes      |
      | are not known                      | no       |

  Scenario: A host that hears from a control host again is isolated no longer
    Given an entry host that holds revision 7 and hears from a control host
    When 9 seconds pass without a reply, and the other entry hosts do not answer
    And a control host with revision 9 replies
    Then the entry host counts as isolated: no

  Scenario: An answer that was missing before an earlier contact does not count
    Given an entry host that holds revision 7 and hears from a control host
    When 5 seconds pass without a reply, and the other entry hosts do not answer
    And a control host with revision 9 replies
    And 4 seconds pass without a reply, and the other entry hosts do not answer
    Then the entry host counts as isolated: no

  Scenario: Other entry hosts of an earlier release do not know the call
    They refuse it, which shows that this host is not cut off. During an upgrade, it
    would have counted as isolated as soon as the control hosts were down.

    Given an entry host whose calls to other entry hosts are refused
    When 9 seconds pass for its contact recovery
    Then the entry host counts as isolated: no

  Scenario: Entry hosts are asked in turn, at most two a second
    If the control hosts are down, every entry host asks others all the time.

    Given an entry host that holds revision 7 and hears from a control host
    When 9 seconds pass without a reply, and the other entry hosts do not answer
    Then each of the 5 others was asked, and 14 calls were made

  Scenario: A control host that was removed from the group is forgotten
    Its address stayed in the list for good, and was called for good.

    Given an entry host that holds revision 7 and hears from a control host
    And it calls a control host that was removed and one that the settings name
    When 29 seconds pass with replies of a member
    Then it forgets no control host
    When 2 seconds pass with replies of a member
    Then it forgets the control host that was removed

  Scenario: No control host is forgotten without contact
    The list of members may be old then, and those that are left out may be the new ones.

    Given an entry host that holds revision 7 and hears from a control host
    And it calls a control host that was removed and one that the settings name
    When 60 seconds pass without a reply
    Then it forgets no control host
