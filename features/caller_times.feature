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

  Scenario: A host that gets few sweeps learns its lag from the first ones
    In a large deployment a host gets a sweep every few seconds. Until it had learned its
    lag, half of the answers that waited for the last moment were late.

    Given a sweep whose last part never arrives
    When 3 such sweeps arrive while each timer fires 4 ms late
    And 1 such sweeps arrive while each timer fires 4 ms late
    Then the last 1 answers left within 1 ms of the latest useful moment

  Scenario: The time until a request is read is deducted
    On a busy host a new connection waits for its turn, and every answer that waits for
    its latest moment would be late by that time.

    Given a sweep whose last part never arrives
    When 1 such sweeps are read 6 ms after they arrived, while each timer fires 2 ms late
    Then the last 1 answers left within 1 ms of the latest useful moment

  Scenario: A request that a client sends as it connects arrived with its connection
    The event loop does other work between the accept of a connection and its first read.

    Given a server
    When a client connects and sends a request, which is read 7 ms after the accept
    Then the request arrived 7 ms before it was handled
    When the client sends another request 7 ms later
    Then the request arrived 0 ms before it was handled

  Scenario: A request on a connection that was idle at first arrives when it is read
    Given a server
    When a client connects and sends a request, which is read 50 ms after the accept
    Then the request arrived 0 ms before it was handled

  Scenario: A request that comes in pieces arrives with the last one
    The time in which a client sends a long body is not the host's.

    Given a server
    When a client connects and sends a request in two pieces, 70 ms apart
    Then the request arrived 0 ms before it was handled

  Scenario: A stall at the first sweep does not make the answers after it leave early
    Given a sweep whose last part never arrives
    When 1 such sweeps arrive while each timer fires 20 ms late
    And 1 such sweeps arrive while each timer fires 2 ms late
    Then the last 1 answers left within 1 ms of the latest useful moment

  Scenario: The time to write an answer is deducted
    The parts are merged and the answer is written after everything else that is due in
    that iteration of the event loop. In the grown deployment, half of the answers that
    waited for the last moment reached their callers a millisecond or two after it: the
    network latency and the lateness of the timer were measured, but the work after the
    timer was a constant.

    Given a sweep whose last part never arrives
    When 40 such sweeps arrive while each answer takes 9 ms to write
    Then the last 10 answers left within 1 ms of the latest useful moment

  Scenario: The time to write complete answers is deducted as well
    Most answers of a healthy host are complete, and their merging takes as long as that
    of partial ones. If only partial answers counted, the first of them would be late
    until several had been.

    Given a sweep whose last part never arrives
    When 20 such sweeps are complete and each answer takes 8 ms to write
    And 1 such sweeps arrive while each answer takes 8 ms to write
    Then the last 1 answers left within 1 ms of the latest useful moment

  Scenario: The answers of one route do not make those of another one leave early
    Answers over many shards take longer to merge. With one figure for all routes, an
    urgent route over few shards would lack parts for which there was time.

    Given 2 routes of the same objective
    When 20 answers of the first one take 6 ms to write
    Then answers of the first one leave 4 ms earlier than before
    And answers of the second one leave 0 ms earlier than before

  Scenario: Answers that are written in time leave no earlier than before
    Given 2 routes of the same objective
    When 40 answers of the first one take 1 ms to write
    Then answers of the first one leave 0 ms earlier than before

  Scenario: A host that stalls does not give up its answers
    Answers that leave at half of their objective lack most parts. They would be worth
    less than late ones.

    Given 2 routes of the same objective
    When 20 answers of the first one take 90 ms to write
    Then answers of the first one leave 8 ms earlier than before

  Scenario: The jitter of the callers' network is deducted
    Half of the answers that leave at their latest moment are late if only the mean
    latency of the network is deducted.

    Given 2 routes of the same objective
    When of 20 callers that connect, each fourth needs 14 ms and the others 6 ms
    Then the margin for the network is between 5 and 7 ms

  Scenario: A network without jitter needs no further margin
    Given 2 routes of the same objective
    When of 20 callers that connect, each fourth needs 6 ms and the others 6 ms
    Then the margin for the network is between 3 and 3 ms
