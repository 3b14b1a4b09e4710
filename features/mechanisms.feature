Feature: Each mechanism can be disabled in an experiment

  Scenario Outline: A disabled mechanism does nothing
    The value of a mechanism is measured by the same load with it and without it. A
    disabled mechanism must do nothing at all, and the others must keep working.

    Given a router with <mechanism> disabled
    When <load>
    Then <what>

    Examples:
      | mechanism       | load                                  | what                             |
      | hedging         | one shard of a sweep straggles        | nothing more is sent for it      |
      | retrying        | one shard of a sweep fails            | nothing more is sent for it      |
      | partial_answers | one shard of a sweep never replies    | it is not answered in 100 ms     |
      | early_refusal   | a sweep arrives and 3 shards are gone | the remaining shard is requested |
      | sending_away    | nothing outside the zone is reachable | the host is ready all the same   |
      | ejection        | an upstream fails five times in a row | it gets the next request         |
      | answer_times    | many answers are written late         | they leave at the usual moment   |
      | work_time       | an upstream reports a slow machine    | it gets its share of requests    |

  Scenario: An unknown mechanism name is refused
    Given the experiment's setting hedging,guessing
    Then it is refused with an error that names guessing and the known mechanisms
