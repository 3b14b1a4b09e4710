Feature: Production accepts a document only with a proof from the trial environment

  Scenario: The proved document is promoted unchanged
    Operators try a document in a separate environment. Production must then run
    exactly those bytes.

    Given a trial environment whose proofs production trusts
    And a document that was proved in trial
    When it is promoted to production with its proof
    Then production has the same digest in force as trial
    And going back to it later needs no new proof

  Scenario Outline: A promotion is refused: <cause>
    Without the check, a document that was changed, never tried, or withdrawn
    since would reach every caller at once.

    Given a trial environment whose proofs production trusts
    And a document that was proved in trial
    When it is promoted to production <cause>
    Then production refuses it, says "<reason>", and audits the refusal

    Examples:
      | cause                                    | reason                       |
      | with a byte altered                      | the document has             |
      | without its proof                        | comes without a proof        |
      | with a proof of an untrusted environment | which is not trusted         |
      | with an altered statement                | the signature does not match |
      | after trial withdrew it                  | was withdrawn                |
      | a month later                            | longer than                  |

  Scenario: A document is not in force on every host of the trial environment
    One trial host is partitioned and still runs the older document, so it is
    unknown how the new one would behave there.

    Given a trial environment whose proofs production trusts
    When a document is applied that one of its entry hosts cannot get
    Then trial refuses to prove it and names that host
