Feature: Documents that operators number

  Scenario: The highest number is in force
    Given a log of numbered documents
    When the log gets document 3, then document 7
    Then the log has document 7 in force

  Scenario: A lower number is accepted and changes nothing
    An old change arrives again after a newer one. Refused, its operator would
    send it for ever; obeyed, it would undo what was acknowledged.

    Given a log of numbered documents
    When the log gets document 7, then document 3
    Then both documents were accepted
    And the log has document 7 in force

  Scenario: Other content under a number that is taken
    Two operators use the same number at once. The second must neither be obeyed
    nor read back.

    Given a log of numbered documents
    When the log gets document 7, then other content as document 7
    Then both documents were accepted
    And the log keeps the first content of document 7

  Scenario: A change is sent again
    Its acknowledgement was lost.

    Given a log of numbered documents
    When the log gets document 7, then document 7 again
    Then both documents were accepted
    And the log's revision moved once

  Scenario: A change follows one whose outcome its leader did not know
    The leader gave up waiting for the first change and wrote the second one on
    the state before it. The first stood in the log all the same. Were the second
    bound to that state, it would be refused, and each resend of it as well.

    Given a log of numbered documents
    When documents 3 and 7 are written on the same state and applied in order
    Then both documents were accepted
    And the log has document 7 in force

  Scenario: A document with a mistake is refused
    Given a log of numbered documents
    When the log gets a document with a mistake
    Then the document is refused with invalid_document
    And the log has no document

  Scenario: A document of many routes takes few bytes in the log
    Each change crosses to every control host and stays on its disk. A storm of changes
    filled the links between zones with the same names again and again.

    Given a log of numbered documents
    When the log gets a document of 400 routes
    Then its entry takes less than a fifth of the document's bytes
    And the log has the document of 400 routes in force

  Scenario: The log holds an entry that an earlier release wrote
    Given a log of numbered documents
    When the log holds document 7 as an earlier release wrote it
    Then the log has document 7 in force

  Scenario: An entry whose packed document is damaged
    Given a log of numbered documents
    When bytes that were cut short are unpacked
    Then it is told that they are no packed bytes
