Feature: A non-idempotent request runs at most once, even if the caller resends it

  Scenario: Resent through another host while the first still runs
    A caller timed out and resent its non-idempotent request; the load balancer
    chose another host. A second run would bill the client twice.

    Given three entry hosts with recorders and one billing upstream
    When the request is sent through h-1 and again through h-2
    Then the billing upstream got it once
    And the resend was refused as outcome_unknown with ran unknown

  Scenario: Resent through another host after the reply was lost
    The request ran, but the caller's connection broke before the answer arrived.
    The resend gets the answer of the first run.

    Given three entry hosts with recorders and one billing upstream
    When the request is answered through h-1 and sent again through h-2
    Then the billing upstream got it once
    And the resend got the recorded answer

  Scenario: An answer is returned only after it is recorded
    If the answer left before any recorder stored it and was lost, a resend through
    another host could overtake the record. It would be told that the outcome is
    unknown although the request was answered.

    Given three entry hosts with recorders and one billing upstream
    When the billing upstream replies and no recorder has stored the answer
    Then the caller of h-1 has no answer yet
    When the recorders store the answer
    Then the caller of h-1 has its answer

  Scenario: An answer does not wait for unreachable recorders
    The recorders are cut off while the request runs. The caller must still get the
    answer that its host has.

    Given three entry hosts with recorders and one billing upstream
    When the billing upstream replies while h-1 is cut off from the recorders
    Then the caller of h-1 has no answer yet
    When 260 ms pass on the billing hosts
    Then the caller of h-1 has its answer

  Scenario: Resent in a zone that is cut off
    The first run was in one zone; the resend arrives in a zone that cannot reach
    the recorders. A host there cannot know the outcome, so it must report it as
    unknown and not run the request.

    Given three entry hosts with recorders and one billing upstream
    And h-2 is cut off from the recorders
    When the request is answered through h-1 and sent again through h-2
    Then the billing upstream got it once
    And the resend was refused as outcome_unknown with ran unknown

  Scenario: Resent after the host that ran it was restarted
    The entry host's process died while the request ran and restarted with empty
    memory. Without a record elsewhere it would run the request again.

    Given three entry hosts with recorders and one billing upstream
    When the request is sent through h-1, which restarts, and again there
    Then the billing upstream got it once
    And the resend was refused as outcome_unknown with ran unknown

  Scenario: Live hosts change between the request and its resend
    A host joins or is cut off between the two. If the record were kept by an owner
    chosen from the live hosts, the resend would look for it elsewhere.

    Given three entry hosts with recorders and one billing upstream
    When the request is answered through h-1 and, with h-1 gone, resent through h-3
    Then the billing upstream got it once
    And the resend got the recorded answer

  Scenario: Two hosts get the same key at the same time
    A caller sends the same request over two connections at once. Each host asks
    the recorders before it learns of the other.

    Given three entry hosts with recorders and one billing upstream
    When the request is sent through h-1 and h-2 before any message is delivered
    Then the billing upstream got it at most once

  Scenario: The same key is reused for a different request
    A caller's program reuses a key by mistake. If it were answered from the record
    it would get another debtor's result.

    Given three entry hosts with recorders and one billing upstream
    When the request is answered through h-1 and another is sent with its key
    Then the billing upstream got it once
    And the resend was refused as idempotency_key_reused with ran no

  Scenario: A request that certainly did not run may be sent again
    Every upstream refused the request without running it, and the caller was told
    so. Its key must be released, or the caller could never get its answer.

    Given three entry hosts with recorders and one billing upstream
    When the request is refused as not run through h-1 and sent again through h-2
    Then the billing upstream got it twice, the second time to run it

  Scenario: A single host stores keys itself
    Without recorders, as in an embedded tier, the only host keeps the records.

    Given a single entry host
    When it answers a non-idempotent request and gets it again
    Then it ran once, the resend has the recorded answer, and its status is known

  Scenario: A recorder is full
    More keys arrive than a recorder may store. Evicting a record for a new one
    would allow the evicted request to run again, so the new one is rejected.

    Given a recorder that keeps 2 records for 60 s and 100 bytes of answers
    When 3 keys are claimed and the first two are answered with 80 bytes each
    Then the third was rejected and only the newer answer is kept
    And after 61 s nothing is kept and the third is granted

  Scenario: No loss, delay, crash or lost memory lets a key run twice
    Messages are lost, duplicated and delayed, recorders crash, and one restarts
    with an empty disk while claims are in progress.

    Then a state machine over recorders and claimants finds no key that ran twice

  Scenario: A grant from before a recorder lost its disk is void
    A recorder grants a key, loses its disk and restarts as an empty member. It
    would grant the key to another request, and both could count a majority.

    Given three recorders and a claim that only c-1 has granted so far
    When c-1 loses its disk, copies the others, and the claim reaches c-2
    Then the claim is not granted, but a later one through c-1 and c-3 is

  Scenario: A recorder with an empty disk grants nothing before it copied enough
    Two recorders hold the key. One of them loses its disk and reaches only the
    third, which has no record of the key.

    Given three recorders and a claim that c-1 and c-2 have granted
    When c-1 loses its disk and copies c-3 only
    Then a later claim through c-1 and c-3 is not granted

  Scenario: Hosts with different sets of recorders never both get a majority
    One host was started with an older list of recorders. Its majority need not
    overlap the majority of the others.

    Given three recorders and a claim that c-1 and c-2 have granted
    When a host with an older set of recorders claims the same key
    Then every recorder abstains

  Scenario: A non-idempotent request whose caller left is removed from memory
    A caller closes its connection while part of its request still waits for a
    slot. The request continues, since it may run only once. If an entry for each
    such request were kept, a host would grow until it is killed, weeks later.

    Given a core loop whose core dispatches a non-idempotent request late
    When its caller leaves before the dispatch and the sub-requests end
    Then the core loop dispatched them and keeps nothing of the request
