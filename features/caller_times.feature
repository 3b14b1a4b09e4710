Feature: An answer leaves while it is still of use to its caller

  Scenario: All callers of a host have just connected
    None of them says the whole time that it waits, as each has spent some of it on
    connecting. Taken for the whole, answers would leave that much too late.

    Given a route whose callers wait for 500 ms, as its timeout says
    When a caller arrives that will wait for 494 ms
    Then it has waited for 6 ms
    And the way to callers is 3 ms

  Scenario: A timeout that says nothing of the callers
    Operators may set it far above what callers wait.

    Given a route whose callers wait for 500 ms, though its timeout is 900 ms
    When a caller arrives that will wait for 500 ms
    Then it has waited for 0 ms

  Scenario: Timers fire late
    The processor is busy and the loop comes late to each timer. Answers that leave
    at their last moment would all be late by that.

    Given a sweep whose last part never comes
    When 40 such sweeps arrive while each timer fires 8 ms late
    Then the last 10 answers left within 1 ms of the moment that is still of use
    When 300 such sweeps arrive while each timer fires on time
    Then the last 10 answers left within 1 ms of the moment that is still of use

  Scenario: Answers are written late
    The parts are merged and the answer is written after all else that is due in that
    turn. Callers of the grown deployment got half of the answers that waited for
    their last moment a millisecond or two after it: the way was known and the timer's
    lag, but what came after the timer was a constant.

    Given a sweep whose last part never comes
    When 40 such sweeps arrive while each answer takes 9 ms to write
    Then the last 10 answers left within 1 ms of the moment that is still of use
