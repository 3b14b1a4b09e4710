Feature: A settings file changes while a process runs

  Scenario: Other control hosts are named
    Given a process with the control hosts c-1
    When its settings name c-2 and are read again
    Then it begins with c-2

  Scenario: A changed file is wrong
    The old settings stay in force. Logged at each reading, the mistake would hide
    everything else in the log.

    Given a process with the control hosts c-1
    When its settings become wrong and are read 5 times
    Then it keeps its control hosts, and logs the mistake once
    And its metrics tell that the new settings are refused
    When its settings name c-2 and are read again
    Then it begins with c-2
    And its metrics tell that no settings are refused

  Scenario: A wrong file is wrong in another way
    Given a process with the control hosts c-1
    When its settings become wrong and are read 5 times
    And its settings become wrong in another way and are read 5 times
    Then it logged 2 mistakes
