Feature: A soak plays faults against real processes

  Scenario: A short soak breaks no promise
    Given a soak of the small size with seed 7 in which faults begin for 6 seconds
    When it is played
    Then callers were answered and no promise was broken
    And its folder holds the schedule, the verdict and the log of every process

  Scenario: A wrong build is noticed
    A judge that has never found anything may be one that checks nothing.

    Given a soak of the small size with seed 7 in which faults begin for 1 seconds
    And upstreams that answer from an older snapshot than they say
    When it is played
    Then the promise of whole answers of one snapshot was broken

  Scenario Outline: The judge names what was broken
    Given a judge of sweeps over two services
    When it sees <what>
    Then it names <promise>

    Examples:
      | what                                          | promise                          |
      | a whole answer                                | nothing                          |
      | an answer without a row                       | whole answers of one snapshot    |
      | an answer with rows of another snapshot       | whole answers of one snapshot    |
      | an answer that lacks a service and says so    | nothing                          |
      | an answer that lacks a service unsaid         | true coverage                    |
      | an order that ran twice                       | a billed request runs once       |
      | an order that ran and was refused as not run  | a refusal is true                |
      | work after an upstream had left               | what leaves gets no new work     |
      | an older revision than was accepted           | what was accepted is never lost  |

  Scenario: A seed draws the same faults again
    Given the schedules of 200 seeds
    Then each is the same when it is drawn again
    And no two control hosts are struck within the time that one needs to be back
    And no entry host is stopped, killed or paused while it stops or starts

  Scenario Outline: A link harms what passes
    Given a link to a service that echoes
    When the link <harm>
    Then a caller's word <what>

    Examples:
      | harm             | what                      |
      | passes           | comes back                |
      | delays           | comes back late           |
      | cuts             | never comes back          |
      | mutes            | is heard but not answered |
      | resets           | ends with a reset         |
