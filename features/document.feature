Feature: The environment document is checked as a whole

  Scenario: Every mistake is named with its place
    An operator mistypes several values in one document. If only the first were
    reported, each round of corrections would end in another refusal.

    Given the document
      """
      version = 1
      [subscribers.demo]
      share = -1
      key_sha256 = ["abc"]
      [services.credits-0]
      shards = 3
      [kinds.sweep]
      fan_out = "some"
      deadline_ms = 0
      """
    When it is checked
    Then these mistakes are named
      | place                        |
      | subscribers.demo.share       |
      | subscribers.demo.key_sha256[0] |
      | services.credits-0.shards    |
      | kinds.sweep.fan_out          |
      | kinds.sweep.deadline_ms      |

  Scenario: A document that is no TOML is one mistake
    Given the document
      """
      version = = 1
      """
    When it is checked
    Then these mistakes are named
      | place    |
      | document |
