Feature: The replicated log loses no acknowledged change

  Scenario Outline: Random fault schedules over <size> hosts
    Messages are lost, duplicated, delayed and reordered. Hosts crash and lose
    unsynced data or the whole disk, partitions cut one direction or both, and
    disks fill up or fail to sync, also a second one just after a repair. A lost
    change would restore a configuration that operators had replaced.

    When <count> schedules over <size> control hosts run from seed <seed>
    Then every invariant of the log held and each schedule ended with an accepted change

    Examples:
      | size | count | seed |
      | 3    | 120   | 1000 |
      | 5    | 50    | 2000 |

  Scenario Outline: A schedule that once failed: <what>
    Found by exploration, with the seed that reproduces it. Seed 102828: a member
    that had missed a whole term was refused the entries it lacked for ever. While
    searching for the last common entry, it named an index below the one that it
    had acknowledged.

    When 1 schedules over <size> control hosts run from seed <seed>
    Then every invariant of the log held and each schedule ended with an accepted change

    Examples:
      | what                   | size | seed   |
      | a member stays behind  | 5    | 102828 |

  Scenario Outline: Hypothesis searches for short schedules over <size> hosts
    The same faults in an order that hypothesis chooses. It reduces a failing
    schedule to the few steps that matter.

    When a state machine over <size> control hosts runs <examples> examples
    Then every invariant of the log held and each schedule ended with an accepted change

    Examples:
      | size | examples |
      | 3    | 25       |
      | 5    | 10       |

  Scenario Outline: The checks detect an injected fault: <fault>
    A check that cannot fail proves nothing. This fault in the code would lose or
    duplicate a change, so the same schedules must break an invariant.

    When the fault "<fault>" is injected and schedules run from seed <seed>
    Then an invariant of the log is broken

    Examples:
      | fault                                  | seed |
      | acknowledge before sync                | 2    |
      | vote with an empty log                 | 12   |
      | change two members at once             | 233  |
      | truncate the log at every request      | 61   |
      | vote for any candidate                 | 0    |
      | read before a commit in the term       | 20   |
      | omit change ids from a snapshot        | 14   |
      | apply a change id twice                | 1    |
      | forget the leader at a restart         | 187  |
      | keep the lease too long                | 720  |

  Scenario: The checks detect a change of voters that begins before the last one ended
    A host that counts the voters before the last change could lead beside one that
    counts those after the next.

    Given control hosts that remove dead voters after 1 second
    When the fault "begin a change before the last one ended" is injected and such schedules over 4 control hosts run from seed 4921
    Then an invariant of the log is broken

  Scenario: The checks detect a change of voters that counts before it is committed
    A host with a change that nobody else has could neither lead nor let others lead.

    Given control hosts that remove dead voters after 1 second
    When the fault "count only the members after a change" is injected and such schedules over 5 control hosts run from seed 701123
    Then an invariant of the log is broken

  Scenario: The last record is incomplete
    The power fails in the middle of a write, before the record is acknowledged.
    If the host refused to start because of it, every power failure would need a
    repair.

    Given the write-ahead log of a host with 3 entries
    When its last record is truncated
    Then the host starts with 2 entries and can append to the log

  Scenario Outline: A record in the middle is corrupted
    A disk returns other bytes than were written. Dropping the record and those
    after it would lose acknowledged changes.

    Given the write-ahead log of a host with 3 entries
    When a bit in the <part> of its second record flips
    Then the start fails with an error that names the file and the offset

    Examples:
      | part    |
      | length  |
      | payload |

  Scenario Outline: The disk fails: <failure>
    The disk accepts no more writes. If a change were acknowledged all the same,
    the next power failure would lose it, so the operator must not get an
    acknowledgement.

    Given a single control host with a disk
    When <failure> and a change is proposed
    Then the change is not acknowledged and the host halts
    And after a restart on a working disk a resend is acknowledged once

    Examples:
      | failure           |
      | the disk is full  |
      | the sync fails    |

  Scenario: Control hosts are replaced one after the other
    Each new host joins while its predecessor, permanently lost, still counts for
    the quorum. With two lost ones among four voters no change or read would be
    possible any more.

    Given a log of 4 control hosts that removes dead voters after 2 seconds
    When two control hosts are lost permanently, 5 seconds apart
    Then the 2 remaining control hosts accept a change

  Scenario Outline: Control hosts are replaced faster than dead ones are removed: <victim>, <order>, <size> hosts
    Each new leader waits anew until it removes the dead voters. If they stayed until
    then, the next loss would leave no majority for good.

    When 6 control hosts, <victim>, are each replaced, <order>, 4.2 seconds apart, in 20 runs from <size> hosts
    Then the remaining control hosts accepted a change in each run

    Examples:
      | victim               | order                     | size |
      | each time the leader | the successor first       | 3    |
      | each time the leader | the successor first       | 4    |
      | each time the leader | the successor first       | 6    |
      | each time the leader | the successor first       | 8    |
      | each time the oldest | the successor first       | 3    |
      | at random            | the successor first       | 4    |
      | at random            | the successor first       | 8    |
      | each time the leader | the successor after       | 3    |
      | each time the leader | the successor after       | 4    |
      | each time the leader | the successor after       | 8    |
      | each time the oldest | the successor after       | 3    |
      | at random            | the successor after       | 5    |
      | each time the leader | by its own emptied disk   | 3    |
      | each time the leader | by its own emptied disk   | 5    |

  Scenario: Reads are confirmed by a majority in random schedules
    A member that restarts begins an election at once. Without leases no leader
    relies on its not voting, but a read that no majority confirmed must still not
    be answered.

    Given control hosts that confirm each read with a majority
    When 60 such schedules over 3 control hosts run from seed 1500
    Then every invariant of the log held and each schedule ended with an accepted change
    When 30 such schedules over 4 control hosts run from seed 1900
    Then every invariant of the log held and each schedule ended with an accepted change

  Scenario: All control hosts lose power
    Until one of them leads again, entry hosts have no configuration and refuse
    every request.

    Given 3 control hosts that had a leader and lost power
    When they start again and 400 ms pass
    Then one of them leads

  Scenario: Dead voters are removed in random schedules
    Given control hosts that remove dead voters after 1 second
    When 40 such schedules over 4 control hosts run from seed 500
    Then every invariant of the log held and each schedule ended with an accepted change
    When 20 such schedules over 5 control hosts run from seed 900
    Then every invariant of the log held and each schedule ended with an accepted change

  Scenario: Control hosts find the data of an earlier version
    Its memberships don't say which members count both sets of voters during a change.

    Given control hosts that remove dead voters after 1 second
    And the data of an earlier version
    When 20 such schedules over 3 control hosts run from seed 5500
    Then every invariant of the log held and each schedule ended with an accepted change
    When 20 such schedules over 5 control hosts run from seed 5600
    Then every invariant of the log held and each schedule ended with an accepted change

  Scenario: Disks are lost beside a removal that is not committed
    A voter that is wrongly taken for dead is being removed, so that four voters bear
    the loss of one disk where five bore two, and no host can be elected again.
    Given control hosts that remove dead voters after 1 second
    When 1 such schedules over 5 control hosts run from seed 700679
    And 1 more such schedules over 5 control hosts run from seed 701123
    And 1 more such schedules over 5 control hosts run from seed 702793
    Then every invariant of the log held and each schedule ended with an accepted change

  Scenario: Disks are lost beside a removal that is not committed, without lease reads
    Given control hosts that remove dead voters after 1 second, without lease reads
    When 1 such schedules over 4 control hosts run from seed 700587
    And 1 more such schedules over 5 control hosts run from seed 701123
    And 1 more such schedules over 5 control hosts run from seed 701309
    And 1 more such schedules over 4 control hosts run from seed 701720
    And 1 more such schedules over 4 control hosts run from seed 702061
    Then every invariant of the log held and each schedule ended with an accepted change
