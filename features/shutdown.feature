Feature: Graceful stops interrupt no request

  Scenario: An entry host is stopped under load
    Operators restart hosts every day. If draining lost requests, a user's search
    would fail each time a host is replaced, although nothing is wrong.

    Given an environment on loopback under a steady load
    When the first entry host drains
    Then no search of the load was interrupted
    And the drained host accepts no new connection

  Scenario: An upstream is stopped under load
    An upstream announces that it drains. Work still sent to it after a few
    seconds is lost when it exits, and a user gets an incomplete answer.

    Given an environment on loopback under a steady load
    When one upstream of each service drains
    Then no search of the load was interrupted
    And every answer of the load was complete
    And no upstream got work after its drain

  Scenario: Repeated stop signals don't cut off the requests in flight
    A supervisor repeats SIGTERM, or Ctrl-C reaches the whole process group.

    Given a daemon whose drain ends after the last signal and 3 requests in flight
    When it gets SIGTERM, SIGTERM, SIGINT
    Then it exits with code 0 and logs that 0 were left

  Scenario: SIGQUIT aborts a drain that hangs
    A request never ends and the operator cannot wait. The daemon must exit at
    once and log how many requests it abandoned.

    Given a daemon whose drain never ends and 3 requests in flight
    When it gets SIGTERM, SIGTERM, SIGQUIT
    Then it exits with code 1 and logs that 3 were left
    And it logs SIGTERM, SIGQUIT and the times of its drain and closing

  Scenario: A drain that fails is reported
    The exit code tells supervisors that requests may have been cut off.

    Given a daemon whose drain fails and 0 requests in flight
    When it gets SIGTERM
    Then it exits with code 1 and logs that 0 were left

  Scenario: After one signal a daemon completes its drain
    Given a daemon whose drain ends after the last signal and 0 requests in flight
    When it gets SIGTERM
    Then it exits with code 0 and logs that 0 were left
    And it logs the time of its drain
