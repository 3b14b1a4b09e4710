Feature: Documents with numbers that operators assign

  Scenario: The document with the highest number is in force
    Given a log of numbered documents
    When the log gets document 3, then document 7
    Then the log has document 7 in force

  Scenario: A document with a lower number is accepted without effect
    An old change arrives again after a newer one. If it were refused, its operator
    would resend it for ever; if it were applied, it would undo an acknowledged
    change.

    Given a log of numbered documents
    When the log gets document 7, then document 3
    Then both documents were accepted
    And the log has document 7 in force

  Scenario: Different content under a number in use
    Two operators use the same number at once. The second document must neither
    be put in force nor returned to readers.

    Given a log of numbered documents
    When the log gets document 7, then other content as document 7
    Then both documents were accepted
    And the log keeps the first content of document 7

  Scenario: A change is resent
    Its acknowledgement was lost.

    Given a log of numbered documents
    When the log gets document 7, then document 7 again
    Then both documents were accepted
    And the log's revision increased once

  Scenario: A change follows one with an outcome unknown to the leader
    The leader timed out on the first change and wrote the second one on the
    state before it, but the first was in the log all the same. If the second
    were bound to that state, it would be refused, and so would each resend.

    Given a log of numbered documents
    When documents 3 and 7 are written on the same state and applied in order
    Then both documents were accepted
    And the log has document 7 in force

  Scenario: An invalid document is refused
    Given a log of numbered documents
    When the log gets an invalid document
    Then the document is refused with invalid_document
    And the log has no document

  Scenario: A document of many routes is compressed in the log
    Each change is sent to every control host and stored on its disk. A burst of
    changes filled the links between zones with the same names repeatedly.

    Given a log of numbered documents
    When the log gets a document of 400 routes
    Then its entry is smaller than a fifth of the document
    And the log has the document of 400 routes in force

  Scenario: The log holds an entry written by an earlier release
    Given a log of numbered documents
    When the log holds document 7 as an earlier release wrote it
    Then the log has document 7 in force

  Scenario: An entry with a truncated compressed document
    Given a log of numbered documents
    When truncated compressed bytes are unpacked
    Then unpacking fails with an error that names the entry
