Feature: Operators' commands over real sockets

  Scenario: A document goes from trial to production on the command line
    Operators and their scripts rely on exit codes, on the lines that the commands
    print, and on refusals that name their reason.

    Given a trial and a production environment, the latter over TLS, with an entry host each
    Then check of a valid document exits 0 and prints its digest
    And check of an invalid document exits 1 and names the invalid setting
    When the document is applied to trial with --wait
    And it is proved in trial and promoted to production
    Then diff against production exits 0, and 1 for another document
    And history and audit of production name the operator and the digest
    When zone a of production is drained
    Then it is refused on the command line as last_zone with exit 1
    And a wrong token is refused as unauthorized with exit 1
    And an unreachable control host is reported in one line with exit 1
