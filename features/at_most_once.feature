Feature: A non-idempotent request runs at most once, whatever the caller resends

  Scenario: Resent through another host while the first still runs
    A caller lost patience and sent its billed query again; the balancer chose
    another host. Run twice, the client would be billed twice.

    Given three entry hosts with recorders and one billing upstream
    When the billed query is sent through h-1 and again through h-2
    Then the billing upstream got it once
    And the resend was refused as outcome_unknown with ran unknown

  Scenario: Resent through another host after the reply was lost
    The query ran, but the caller's connection broke before the answer came. It
    sends the query again and gets the answer of the first run.

    Given three entry hosts with recorders and one billing upstream
    When the billed query is answered through h-1 and sent again through h-2
    Then the billing upstream got it once
    And the resend got the recorded answer

  Scenario: An answer is given once it is recorded
    The answer reaches the caller before any recorder knows of it, gets lost, and
    the caller's resend through another host overtakes the record. It would hear
    that the outcome is unknown, of a request that was answered.

    Given three entry hosts with recorders and one billing upstream
    When the billing upstream replies and no recorder has heard of it
    Then the caller of h-1 has no answer yet
    When the recorders hear of it
    Then the caller of h-1 has its answer

  Scenario: An answer does not wait for recorders that are out of reach
    The recorders are cut off while the query runs. Its caller must not lose an
    answer that is at hand.

    Given three entry hosts with recorders and one billing upstream
    When the billing upstream replies while h-1 is cut off from the recorders
    Then the caller of h-1 has no answer yet
    When 260 ms pass on the billing hosts
    Then the caller of h-1 has its answer

  Scenario: Resent in a zone that is cut off
    The first run was in one zone; the resend arrives in a zone that cannot
    reach the recorders. Nobody there can know, so it must say so and not run.

    Given three entry hosts with recorders and one billing upstream
    And h-2 is cut off from the recorders
    When the billed query is answered through h-1 and sent again through h-2
    Then the billing upstream got it once
    And the resend was refused as outcome_unknown with ran unknown

  Scenario: Resent after the host that ran it was restarted
    The entry host's process died while the query ran and came back with nothing
    in memory. Without a record elsewhere it would run the query again.

    Given three entry hosts with recorders and one billing upstream
    When the billed query is sent through h-1, which restarts, and again there
    Then the billing upstream got it once
    And the resend was refused as outcome_unknown with ran unknown

  Scenario: Live hosts change between the two
    A host joins or is cut off between the request and its resend. A record kept
    by an owner that is chosen from the live hosts would be looked for elsewhere.

    Given three entry hosts with recorders and one billing upstream
    When the billed query is answered through h-1 and, with h-1 gone, resent through h-3
    Then the billing upstream got it once
    And the resend got the recorded answer

  Scenario: Two hosts get the same key in the same instant
    A caller sends the same request over two connections at once. Each host asks
    the recorders before it knows of the other.

    Given three entry hosts with recorders and one billing upstream
    When the billed query is sent through h-1 and h-2 before any message arrives
    Then the billing upstream got it at most once

  Scenario: The same key for a different request
    A caller's program reuses a key by mistake. Answered from the record it would
    get another debtor's result.

    Given three entry hosts with recorders and one billing upstream
    When the billed query is answered through h-1 and another is sent with its key
    Then the billing upstream got it once
    And the resend was refused as idempotency_key_reused with ran no

  Scenario: What certainly did not run may be sent again
    Every upstream refused the query without running it, and the caller was told
    so. Its key must be free again, or the caller could never get its answer.

    Given three entry hosts with recorders and one billing upstream
    When the billed query is refused unrun through h-1 and sent again through h-2
    Then the billing upstream got it twice, the second time to run it

  Scenario: A host that is alone remembers keys itself
    Without recorders, as in an embedded tier, the one host keeps the records.

    Given an entry host that is alone
    When it answers a billed query and gets it again
    Then it ran once, the resend has the recorded answer, and its status is told

  Scenario: A recorder is full
    Far more keys come than a recorder may keep. Dropping a record for a new one
    would let the dropped request run again, so the new one is turned away.

    Given a recorder that keeps 2 records for 60 s and 100 bytes of answers
    When it is asked for 3 keys and the first two are answered with 80 bytes each
    Then the third was turned away and only the newer answer is kept
    And after 61 s nothing is kept and the third is granted

  Scenario: No loss, delay, crash or lost memory lets a key run twice
    Messages are lost, doubled and delayed, recorders crash, and one comes back
    with an empty disk while claims are under way.

    Then a state machine over recorders and claimants finds no key that ran twice

  Scenario: A grant from before a recorder lost its disk is void
    A recorder grants a key, loses its disk and comes back as an empty member. It
    would grant the key to another request, and both could count a majority.

    Given three recorders and a claim that c-1 alone has granted so far
    When c-1 loses its disk, copies the others, and the claim reaches c-2
    Then the claim is not granted, but a later one through c-1 and c-3 is

  Scenario: An emptied recorder grants nothing before it has copied enough
    The key is held by two recorders. One of them loses its disk and reaches only
    the third, which never heard of the key.

    Given three recorders and a claim that c-1 and c-2 have granted
    When c-1 loses its disk and copies c-3 only
    Then a later claim through c-1 and c-3 is not granted

  Scenario: Hosts that count different sets of recorders never both win
    One host was started with an older list of recorders. Its majority need not
    meet the majority of the others.

    Given three recorders and a claim that c-1 and c-2 have granted
    When a host with an older set of recorders claims the same key
    Then every recorder abstains

  Scenario: A billed query whose caller left leaves nothing behind
    A caller closes its connection while a part of its billed query still waits
    for a slot. The query goes on, since it may run only once. An entry kept for
    each of these makes a host grow until it is killed, weeks later.

    Given a core loop whose core dispatches a billed query late
    When its caller leaves before the dispatch and the sub-requests end
    Then the core loop dispatched them and keeps nothing of the query
