Feature: Each mechanism can be left out in a trial

  Scenario Outline: A router without one mechanism
    What a mechanism is worth is told by the same load with it and without it. Left
    out, it must do nothing at all, and the others go on.

    Given a router that leaves out <mechanism>
    When <load>
    Then <what>

    Examples:
      | mechanism       | load                                   | what                            |
      | hedging         | one shard of a sweep straggles         | nothing more is sent for it     |
      | retrying        | one shard of a sweep fails             | nothing more is sent for it     |
      | partial_answers | one shard of a sweep never replies     | it is not answered in 100 ms    |
      | early_refusal   | a sweep arrives and 3 shards are gone  | the others are asked            |
      | sending_away    | nothing outside the zone can be reached | the host is ready all the same |
      | ejection        | an upstream fails five times in a row  | it is asked again at once       |

  Scenario: A name that is none of a mechanism
    Given the trial's setting hedging,guessing
    Then it is refused, naming guessing and what is known
