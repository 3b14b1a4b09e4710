Feature: Control daemons keep the changes that they acknowledged

  Scenario: The leader is killed and its disk is corrupted while it is down
    The leading process is killed just after it acknowledged a change. The
    operator does not get the reply and resends the change to the other hosts.
    Later the killed host starts from a disk that returns corrupted data.

    Given three control daemons on loopback
    When document 1 is applied on the command line as change first
    And the leading daemon is killed
    Then document 1 applied again as change first has the same result
    And document 2 applied on revision 0 is refused with the name of the accepted change
    When the stopped daemon starts again
    Then status shows three control hosts at the same revision and exits 0
    When that daemon is sent SIGTERM
    Then it exits 0
    When a byte in the middle of its log is corrupted and it starts again
    Then it exits 1 with one line that names the file and the offset

  Scenario: The leading control host is stopped under a load of changes
    Control hosts are restarted for an upgrade while operators and their programs
    change the document. The loss of an acknowledged change goes unnoticed until
    the environment behaves as it did before the change.

    Given three control daemons on loopback
    And operators who change the document continuously
    When the leading control daemon is sent SIGTERM under this load
    Then it exits 0
    And the other control daemons keep accepting changes
    When the stopped daemon starts again
    Then the history has every acknowledged change under its revision
    And status shows three control hosts at the same revision and exits 0
