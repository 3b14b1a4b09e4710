Feature: A recorder keeps its grants across restarts and disk loss

  Scenario: A grant survives a restart of all recorders
    A whole site loses power right after non-idempotent requests were granted.
    After the restart a resend must find its key taken.

    Given three recorder hosts that have granted a key to t-1
    When all three are restarted from their disks
    Then none of them grants the key to t-2

  Scenario: A torn last record is truncated, a damaged one stops the start
    Power fails during a write. The half record was never acknowledged; a damaged
    record with others after it was.

    Given three recorder hosts that have granted a key to t-1
    When c-1 has half a record at the end of its journal and c-2 a flipped byte
    Then c-1 starts with its key and c-2 stops with log_damaged

  Scenario: A disk failure stops the grants
    A recorder cannot write any more. Grants made only in memory would be lost
    with the process.

    Given three recorder hosts that have granted a key to t-1
    When the disk of c-1 fails and t-3 claims another key there
    Then c-1 grants neither that key nor any other

  Scenario: A recorder with an empty disk copies the others first
    A host was replaced and comes back with an empty disk.

    Given three recorder hosts that have granted a key to t-1
    When c-1 is restarted with an empty disk
    Then c-1 first abstains and then holds the key for t-1 too

  Scenario: A recorder with an empty disk abstains while it reaches no other
    A host comes back with an empty disk while it reaches no other recorder, and
    it was started with the flag that allows a new environment to begin.

    Given three recorder hosts that have granted a key to t-1
    When c-1 is restarted with an empty disk while the others are down
    Then c-1 still abstains
