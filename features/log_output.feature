Feature: Writing log lines never blocks a host

  Scenario: The reader of the log stops reading
    The pipe is full. A host that blocked on it would answer no more requests.

    Given a log output whose reader does not read
    When 20000 ordinary lines are logged over 100 seconds
    Then no write blocked
    And the dropped lines are counted by event
    When the reader resumes reading
    Then it reads complete lines only, and the count of dropped lines

  Scenario: Failures are kept in preference to ordinary lines
    A burst of requests reaches the limit on log lines. The lines of failed
    requests are those that an operator will look for.

    Given a log output whose reader reads all
    When 5000 ordinary lines and 100 failures are logged within a second
    Then all 100 failures are read
    And fewer than 2500 ordinary lines are read

  Scenario: Nobody reads the log of a daemon
    The pipe was full, the daemon waited in a write, and SIGTERM was not handled.

    Given a daemon whose standard error is a full pipe
    When it is sent SIGTERM while nobody reads its log
    Then it exits with 0 while nobody reads its log
