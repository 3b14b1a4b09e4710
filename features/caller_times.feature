Feature: An answer is sent while it can still reach its caller in time

  Scenario: The time that callers spend on connecting is deducted
    All callers of a host have just connected. None of them announces its whole timeout,
    as each has spent some of it on connecting. If the remaining time was taken for the
    whole, answers would be sent that much too late.

    Given a route whose timeout and whose callers' timeout are 500 ms
    When a caller arrives that will wait for another 494 ms
    Then it has already waited for 6 ms
    And the one-way latency to callers is 3 ms

  Scenario: A route timeout above the callers' timeout is not used
    Operators may set it far above the time that callers wait.

    Given a route whose callers' timeout is 500 ms and whose own is 900 ms
    When a caller arrives that will wait for another 500 ms
    Then it has already waited for 0 ms

  Scenario: The lateness of timers is deducted
    The processor is busy and the event loop runs each timer late. Answers sent at the
    last moment would all be late by that much.

    Given a sweep whose last part never arrives
    When 40 such sweeps arrive while each timer fires 8 ms late
    Then the last 10 answers left within 1 ms of the latest useful moment
    When 300 such sweeps arrive while each timer fires on time
    Then the last 10 answers left within 1 ms of the latest useful moment

  Scenario: The time to write an answer is deducted
    The parts are merged and the answer is written after everything else that is due in
    that iteration of the event loop. In the grown deployment, half of the answers that
    waited for the last moment reached their callers a millisecond or two after it: the
    network latency and the lateness of the timer were measured, but the work after the
    timer was a constant.

    Given a sweep whose last part never arrives
    When 40 such sweeps arrive while each answer takes 9 ms to write
    Then the last 10 answers left within 1 ms of the latest useful moment
