Feature: A settings file changes while a process runs

  Scenario Outline: The settings name other control hosts
    With a stand-in for the daemon the reload passed, and no daemon had the method that
    it called: a changed list of control hosts was never used.

    Given <process> of the platform with the control host 127.0.0.1:7301
    When its settings name 127.0.0.1:7302 and are reloaded
    Then it calls the control host 127.0.0.1:7302

    Examples: processes
      | process         |
      | an entry host   |
      | a control host  |

  Scenario: A changed settings file is invalid
    The old settings stay in force. If the error were logged at each reload, it
    would hide everything else in the log.

    Given an entry host of the platform with the control host 127.0.0.1:7301
    When its settings become invalid and are reloaded 5 times
    Then it keeps its control hosts and logs the error once
    And its metrics report that the new settings are refused
    When its settings name 127.0.0.1:7302 and are reloaded
    Then it calls the control host 127.0.0.1:7302
    And its metrics report that no settings are refused

  Scenario: An invalid settings file becomes invalid in another way
    Given an entry host of the platform with the control host 127.0.0.1:7301
    When its settings become invalid and are reloaded 5 times
    And its settings become invalid in another way and are reloaded 5 times
    Then it logged 2 errors
