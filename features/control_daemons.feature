Feature: Control hosts as processes keep what they acknowledged

  Scenario: The leader is killed and its disk is damaged while it is down
    The process that leads dies without a word, just after it acknowledged a
    change. The operator does not see the reply and sends the change again to the
    others. Later the dead host is to start on a disk that returns other bytes.

    Given three control daemons on loopback
    When document 1 is applied on the command line as change first
    And the daemon that leads is killed
    Then document 1 applied again as change first has the same result
    And document 2 applied on revision 0 is refused with the winner's name
    When the killed daemon starts again
    Then status shows three control hosts at the same revision and exits 0
    When one daemon is told to stop
    Then it exits 0
    When a byte in the middle of its log is damaged and it starts again
    Then it exits 1 with one line that names the file and the offset

  Scenario: The control host that leads is stopped while changes go on
    Control hosts are restarted for an update while operators and their programs
    change the document. A change that was acknowledged and then is gone is
    noticed only when the environment behaves as before it.

    Given three control daemons on loopback
    And operators who change the document without a pause
    When the control daemon that leads is told to stop under this load
    Then it exits 0
    And the other control daemons go on to take changes
    When the killed daemon starts again
    Then every acknowledged change stands in the history under its revision
    And status shows three control hosts at the same revision and exits 0
