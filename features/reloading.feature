Feature: A settings file changes while a process runs

  Scenario: The settings name other control hosts
    Given a process with the control hosts c-1
    When its settings name c-2 and are reloaded
    Then it uses the control hosts c-2

  Scenario: A changed settings file is invalid
    The old settings stay in force. If the error were logged at each reload, it
    would hide everything else in the log.

    Given a process with the control hosts c-1
    When its settings become invalid and are reloaded 5 times
    Then it keeps its control hosts and logs the error once
    And its metrics report that the new settings are refused
    When its settings name c-2 and are reloaded
    Then it uses the control hosts c-2
    And its metrics report that no settings are refused

  Scenario: An invalid settings file becomes invalid in another way
    Given a process with the control hosts c-1
    When its settings become invalid and are reloaded 5 times
    And its settings become invalid in another way and are reloaded 5 times
    Then it logged 2 errors
