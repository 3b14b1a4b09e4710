Feature: Planned stops cut nothing off

  Scenario: An entry host is stopped under load
    Operators restart hosts every day. A user notices a fault here as a search
    that fails although nothing was wrong, each time a host is replaced.

    Given an environment on loopback under a steady load
    When the first entry host drains
    Then no search of the load was cut off
    And the drained host takes no new connection

  Scenario: An upstream is stopped under load
    An upstream says that it drains. Work that still goes to it after a few
    seconds is lost when it exits, and a user sees a hole in the answer.

    Given an environment on loopback under a steady load
    When one upstream of each service drains
    Then no search of the load was cut off
    And every answer of the load was complete
    And no upstream got work after its drain

  Scenario: A second signal ends a drain that hangs
    A request never ends and the operator cannot wait. The stop must end at
    once, and say what it left.

    Given a daemon whose drain never ends and 3 requests in flight
    When it gets SIGTERM twice
    Then it exits with code 1 and logs that 3 were left

  Scenario: One signal lets a daemon finish
    Given a daemon whose drain ends and 0 requests in flight
    When it gets SIGTERM once
    Then it exits with code 0 and logs that 0 were left
