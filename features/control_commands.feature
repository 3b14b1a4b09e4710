Feature: Operators' commands over real sockets

  Scenario: A document goes from trial to production on the command line
    Operators and their scripts rely on exit codes, on the lines that the commands
    print, on refusals that name their reason.

    Given a trial and a production environment, this over TLS, with an entry host each
    Then check of a document without mistakes exits 0 and prints its digest
    And check of a document with a mistake exits 1 and names its place
    When the document is applied to trial and awaited
    And it is proved in trial and promoted to production
    Then diff against production exits 0, and 1 for another document
    And history and audit of production name the operator and the digest
    When zone a of production is drained
    Then it is refused on the command line as last_zone with exit 1
    And a wrong token is refused as unauthorized with exit 1
    And a missing control host is one line with exit 1
