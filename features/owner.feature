Feature: The owner of an upstream holds all hosts together to its slots

  Scenario: Nine hosts want the same two slots
    Every entry host has work for one upstream with 2 slots and none sees the
    others' requests. If each took what it sees free, 18 sub-requests would run
    where 2 fit; callers would see all of them slow down.

    Given 9 owner-linked hosts with one upstream of 2 slots
    When every owner-linked host sends 2 sub-requests
    Then at no moment the owned upstream had more than 2 and in the end 18 ran

  Scenario: A fresh upstream gets one sub-request at a time
    A new process has nothing in its caches and falls over under full load. All
    hosts learn of it in the same moment and have plenty of work for it.

    Given 9 owner-linked hosts with one upstream of 2 slots
    And the owned upstream has replied 40 times in 20 ms
    When the owned upstream starts anew and every host sends 2 sub-requests
    Then at first the owned upstream gets 1 at a time and after 30 replies 2

  Scenario: A warm upstream turns cold without a word
    It reloads its index, so its replies take three times as long and it bears
    only one sub-request at a time. Nothing announces that.

    Given 9 owner-linked hosts with one upstream of 2 slots
    And the owned upstream has replied 40 times in 20 ms
    When the owned upstream replies in 60 ms from now on
    Then after 3 replies the owned upstream gets 1 at a time

  Scenario: An upstream drains while work waits for it at its owner
    Operators stop an upstream. What waits for it must not be sent there any
    more, and the sender may truthfully say that it was not run.

    Given 9 owner-linked hosts with one upstream of 2 slots
    When every owner-linked host sends 2 sub-requests and the upstream drains
    Then the owner-linked sub-requests that wait come back as not run

  Scenario: The host that asked gives up while its sub-request is on the way
    A hedge wins before the loser has reached the owner: calls between hosts
    overtake each other. The loser must not run for nobody.

    Given 9 owner-linked hosts with one upstream of 2 slots
    When an owner-linked host sends a sub-request and its cancel arrives first
    Then the owned upstream never gets it and its slots are free

  Scenario: The owner dies with sub-requests of other hosts
    The owner's machine is lost. Without a sign of it the callers would wait
    until their deadline although another host can reach the upstream.

    Given 9 owner-linked hosts with one upstream of 2 slots
    When the owner dies while every other host has 1 sub-request there
    Then every owner-linked sub-request ends and a new owner serves the next one

  Scenario: The owner is stopped as planned with sub-requests of other hosts
    Operators stop the host that owns an upstream. Were what other hosts had
    sent through it given up, their billed requests would end as unknown.

    Given 9 owner-linked hosts with one upstream of 2 slots
    When the owner leaves by word while every other host has 1 sub-request there
    Then none is given up, all are answered, and the owner is idle after it
