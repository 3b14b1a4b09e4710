Feature: A document reaches production only as it proved itself in trial

  Scenario: The proved bytes are promoted unchanged
    Operators try a document in an environment of its own. What then runs in
    production has to be those bytes and no others.

    Given a trial environment whose proofs production trusts
    And a document that was proved in trial
    When it is promoted to production with its proof
    Then production has the same digest in force as trial
    And going back to it later needs no new proof

  Scenario Outline: A promotion is refused: <cause>
    A document that was changed, or never tried, or found bad since, would reach
    every caller at once.

    Given a trial environment whose proofs production trusts
    And a document that was proved in trial
    When it is promoted to production <cause>
    Then production refuses it, says "<reason>", and audits the refusal

    Examples:
      | cause                                 | reason                      |
      | with a byte altered                   | the document has            |
      | without its proof                     | comes without a proof       |
      | with a proof of a foreign environment | which is not trusted        |
      | with an altered statement             | the signature does not match |
      | after trial withdrew it               | was withdrawn               |
      | a month later                         | longer than                 |

  Scenario: A digest is not in force everywhere in trial
    One trial host is cut off and still runs the older document, so nothing is
    known of how it would fare there.

    Given a trial environment whose proofs production trusts
    When a document is applied that one of its entry hosts cannot get
    Then trial refuses to prove it and names that host
