Feature: A recorder keeps its word over restarts and lost disks

  Scenario: A grant survives a restart of all recorders
    The power of a whole site fails right after billed queries were granted. The
    hosts come back; a resend must find that its key is taken.

    Given three recorder hosts that have granted a key to t-1
    When all three are started again from their disks
    Then t-2 gets the key from none of them

  Scenario: A torn last record is cut off, a damaged one stops the start
    The power fails in the middle of a write. The half record was never told to
    anybody; a bad record with others behind it was.

    Given three recorder hosts that have granted a key to t-1
    When the journal of c-1 gets half a record and that of c-2 a flipped byte
    Then c-1 starts with its key and c-2 stops with log_damaged

  Scenario: A disk that fails stops the grants
    A recorder cannot write any more. What it granted from memory alone would be
    forgotten with the process.

    Given three recorder hosts that have granted a key to t-1
    When the disk of c-1 fails and t-3 asks it for another key
    Then c-1 grants neither that key nor any other

  Scenario: A recorder with an empty disk copies the others first
    A host was replaced and comes back with nothing on its disk.

    Given three recorder hosts that have granted a key to t-1
    When c-1 is started again with an empty disk
    Then c-1 abstains at first and then holds the key for t-1 too

  Scenario: A recorder with an empty disk trusts nobody's silence
    A host comes back with an empty disk while it reaches no other recorder, and
    it was started with the flag that lets a new environment begin.

    Given three recorder hosts that have granted a key to t-1
    When c-1 is started again with an empty disk while the others are down
    Then c-1 still abstains
