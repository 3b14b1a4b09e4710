Feature: Entry hosts find the control hosts that replaced the ones they knew

  Scenario Outline: A host that missed the replacement of all control hosts catches up
    It obeyed its old configuration for good: it called the control hosts that it knew,
    which were gone, and none of its sources named the new ones.

    Given control and entry hosts of the platform as processes
    When an entry host is paused
    And every control host is replaced, one after another, <how>
    And the operator adds a route
    And the entry host resumes, and its settings name the <which> control hosts
    Then it serves the added route within 3 seconds

    Examples: sources
      | how                  | which |
      | after it was killed  | new   |
      | before it is stopped | old   |

  Scenario: A control host that was replaced while it was paused joins again
    Its settings named control hosts that were gone, and it asked no others. It ran
    without being a member, for good.

    Given control and entry hosts of the platform as processes
    When the first two control hosts are replaced, one after another
    And the last control host is paused until it has been replaced too
    Then it is a voter again within 15 seconds
