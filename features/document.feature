Feature: The environment document is validated as a whole

  Scenario: Every invalid value is reported with its place
    An operator mistypes several values in one document. If only the first were
    reported, each correction would be followed by another refusal.

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
    When it is validated
    Then these places are reported as invalid
      | place                        |
      | subscribers.demo.share       |
      | subscribers.demo.key_sha256[0] |
      | services.credits-0.shards    |
      | kinds.sweep.fan_out          |
      | kinds.sweep.deadline_ms      |

  Scenario: A document that is not valid TOML is reported as one error
    Given the document
      """
      version = = 1
      """
    When it is validated
    Then these places are reported as invalid
      | place    |
      | document |
