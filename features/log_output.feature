Feature: Log lines never hold up a host

  Scenario: The reader of the log stops reading
    Its pipe is full. A host that waited for it would answer nobody any more.

    Given a log output whose reader does not read
    When 20000 ordinary lines are logged over 100 seconds
    Then no line was waited for
    And the lines that found no room are counted by event
    When the reader reads on
    Then it finds whole lines only, and how many were dropped

  Scenario: Failures are kept before ordinary lines
    A burst of requests fills the ceiling. The lines of those that failed are the
    ones that somebody will ask for.

    Given a log output whose reader reads all
    When 5000 ordinary lines and 100 failures are logged within a second
    Then all 100 failures are read
    And fewer than 2500 ordinary lines are read
