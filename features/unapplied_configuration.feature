Feature: A configuration that an entry host can't apply does not keep later ones away

  Scenario: An unexpected error does not end the calls to a control host
    Each error ended the task that called one control host, with no line in the log.
    Later changes came late, and none came once all tasks had ended.

    Given three control hosts and an entry host of the platform on loopback
    And a configuration that the entry host serves
    When applying three further configurations fails unexpectedly
    And the operator puts a configuration that can be applied
    Then the entry host serves it within 3 seconds

  Scenario: A configuration that fails at first is applied later
    Given three control hosts and an entry host of the platform on loopback
    And a configuration that the entry host serves
    When applying a further configuration fails unexpectedly for 2 seconds
    Then the entry host serves it within 10 seconds

  Scenario: A timeout that no timer can represent comes into force
    Given three control hosts and an entry host of the platform on loopback
    And a configuration that the entry host serves
    When the operator puts a configuration with an idle timeout of 9223372036854775807 ms
    Then the entry host serves it within 3 seconds
