Feature: The owner of an upstream keeps all hosts together within its slots

  Scenario: Nine hosts compete for the same two slots
    Every entry host has work for one upstream with 2 slots and none sees the
    others' requests. If each used the slots it sees free, 18 sub-requests would
    run where 2 fit, and all of them would slow down.

    Given 9 hosts that share one upstream of 2 slots through its owner
    When every host sends 2 sub-requests through the owner
    Then the shared upstream never had more than 2 in flight and 18 ran in total

  Scenario: A restarted upstream gets one sub-request at a time
    A new process has cold caches and fails under full load. All hosts learn of
    it at the same time and have plenty of work for it.

    Given 9 hosts that share one upstream of 2 slots through its owner
    And the shared upstream has replied 40 times in 20 ms
    When the shared upstream restarts and every host sends 2 sub-requests
    Then the shared upstream first gets 1 at a time and after 30 replies 2

  Scenario: A warm upstream slows down without notice
    It reloads its index, so its replies take three times as long and it can
    handle only one sub-request at a time. Nothing announces that.

    Given 9 hosts that share one upstream of 2 slots through its owner
    And the shared upstream has replied 40 times in 20 ms
    When the shared upstream replies in 60 ms from now on
    Then after 3 replies the shared upstream gets 1 at a time

  Scenario: An upstream drains while work is queued for it at its owner
    Operators stop an upstream. Queued work must no longer be sent to it, and the
    sender may report truthfully that it did not run.

    Given 9 hosts that share one upstream of 2 slots through its owner
    When every host sends 2 sub-requests and the shared upstream drains
    Then the sub-requests queued at the owner fail as not run

  Scenario: The sender cancels while its sub-request is on its way to the owner
    A hedge wins before the losing attempt has reached the owner: calls between
    hosts can be reordered. The losing attempt must not run.

    Given 9 hosts that share one upstream of 2 slots through its owner
    When a host sends a sub-request and its cancellation reaches the owner first
    Then the shared upstream never gets it and its slots are free

  Scenario: The owner fails with sub-requests of other hosts
    The owner's machine is lost. Without notification the callers would wait until
    their deadline although another host can reach the upstream.

    Given 9 hosts that share one upstream of 2 slots through its owner
    When the owner fails while it holds 1 sub-request of every other host
    Then all sub-requests at the owner fail and a new owner serves the next one

  Scenario: The owner shuts down gracefully with sub-requests of other hosts
    Operators stop the host that owns an upstream. If the sub-requests that other
    hosts sent through it were abandoned, their non-idempotent requests would end
    with an unknown outcome.

    Given 9 hosts that share one upstream of 2 slots through its owner
    When the owner leaves gracefully while it holds 1 sub-request of every other host
    Then no sub-request is abandoned, all are answered, and the owner becomes idle
