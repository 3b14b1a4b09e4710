Feature: A soak injects faults into real processes

  Scenario: A short soak violates no invariant
    Given a soak of the small size with seed 7 in which faults begin for 6 seconds
    When the soak runs
    Then callers were answered and no invariant was violated
    And its folder holds the schedule, the verdict and the log of every process

  Scenario: A planted bug is detected
    A checker that never found a violation may be one that checks nothing.

    Given a soak of the small size with seed 7 in which faults begin for 1 seconds
    And upstreams that answer from an older snapshot than they report
    When the soak runs
    Then the invariant of whole answers of one snapshot was violated

  Scenario Outline: The invariant checker reports the violated invariant
    Given an invariant checker of sweeps over two services
    When the checker observes <observation>
    Then the checker reports <invariant>

    Examples:
      | observation                                  | invariant                       |
      | a complete answer                            | nothing                         |
      | an answer without a row                      | whole answers of one snapshot   |
      | an answer with rows of another snapshot      | whole answers of one snapshot   |
      | an incomplete answer with correct coverage   | nothing                         |
      | an incomplete answer reported as complete    | true coverage                   |
      | an order that ran twice                      | a billed request runs once      |
      | an order that ran and was refused as not run | a refusal is true               |
      | work after an upstream had left              | what leaves gets no new work    |
      | an older revision than was accepted          | what was accepted is never lost |

  Scenario: An order that is in flight when a soak ends is not taken for a false refusal
    The order is refused once as not run, and its second attempt runs.

    Given a host that refuses an order once and then runs it slowly
    When the callers stop during the second attempt
    Then the checker reports nothing

  Scenario: A seed always generates the same faults
    Given the schedules of 200 seeds
    Then each is the same when it is generated again
    And no two control hosts have faults within the time that one needs to recover
    And no entry host is stopped, killed or paused while it stops or starts

  Scenario Outline: The fault proxy impairs the traffic
    Given a fault proxy in front of an echo server
    When the fault proxy <impairment> traffic
    Then a client's message <result>

    Examples:
      | impairment | result                       |
      | passes     | is echoed                    |
      | delays     | is echoed late               |
      | cuts       | is never delivered           |
      | mutes      | is delivered but not echoed  |
      | resets     | ends in a connection reset   |
