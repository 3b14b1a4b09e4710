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
