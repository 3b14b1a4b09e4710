Feature: Unexpected errors of background tasks are seen

  Scenario: A task that ends unexpectedly is logged and counted
    Nobody awaits such a task, so its error stayed unseen and its owner went on as if
    it still ran.

    When a background task fails with an unexpected error
    Then the log names the task, the error and where it was raised
    And the metrics count 1 failure of the task

  Scenario: A timer that fails is logged
    When a timer of the event loop fails with an unexpected error
    Then the log names the event loop, the error and where it was raised
