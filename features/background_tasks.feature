Feature: Unexpected errors of background tasks are seen and do not end them

  Scenario: A task that ends unexpectedly is logged and counted
    Nobody awaits such a task, so its error stayed unseen and its owner went on as if
    it still ran.

    When a background task fails with an unexpected error
    Then the log names the task, the error and where it was raised
    And the metrics count 1 failure of the task

  Scenario: A timer that fails is logged
    When a timer of the event loop fails with an unexpected error
    Then the log names the event loop, the error and where it was raised

  Scenario: A task that failed runs again
    Given a background task that fails the first 2 times it runs
    When it has been started for 3 seconds
    Then it has run 3 times

  Scenario: A wake timer whose callback failed goes on
    The callback schedules the next call itself, so that one error ended all of them.

    Given a wake timer whose callback fails the first time
    When it has been started for 2 seconds
    Then it has run 2 times
