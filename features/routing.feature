Feature: The router sends each request to an upstream of its route

  Scenario: The longest matching path prefix selects the route
    Given a router whose routes are /reg/ to service short and /reg/deep/ to service long
    When a request for /reg/deep/7 arrives
    Then it goes to an upstream of service long

  Scenario: A request that matches no route is refused
    Given a router whose routes are /reg/ to service short and /reg/deep/ to service long
    When a request for /other/ arrives
    Then the request is refused with not_found

  Scenario: A request is refused with a retry-after while no routing table is known
    A host that has just started knows no routes. A caller that got "not found" would
    not retry, although the route exists.

    Given a router without a routing table
    When a request for /reg/ arrives
    Then the request is refused with not_configured and a retry-after

  Scenario: A sweep is answered once every shard has replied
    Given a router with a sweep over 4 shards of 3 upstreams each
    When a sweep arrives
    And all its attempts are answered
    Then it is answered with 4 parts and 0 missing

  Scenario: A straggling shard is hedged on another upstream
    One upstream of a shard stalls for a moment. Every sweep with an attempt on it would
    be late, although its other replicas are idle.

    Given a router with a sweep over 4 shards of 3 upstreams each
    When a sweep arrives
    And all its attempts but the first are answered
    And 45 ms pass
    Then a second attempt for the first shard went to another upstream
    When the second attempt is answered
    Then it is answered with 4 parts and 0 missing
    And the first attempt is released

  Scenario: A sweep with enough parts is answered shortly before its latency objective
    No upstream of one shard replies. The caller would get a complete answer that comes
    too late to be of use.

    Given a router with a sweep over 4 shards of 3 upstreams each
    When a sweep arrives
    And all its attempts but the first are answered
    And 95 ms pass
    Then it is answered with 3 parts and 1 missing

  Scenario: The latency objective counts from the time the caller started to wait
    The caller connected first, or another host refused it, and the answer still has to
    travel back. An answer that leaves at the objective arrives after it.

    Given a router with a sweep over 4 shards of 3 upstreams each
    And callers with a timeout of 500 ms, most of whom have just connected in 6 ms
    When a sweep arrives whose caller has already waited 60 ms
    And all its attempts but the first are answered
    And 34 ms pass
    Then it is answered with 3 parts and 1 missing

  Scenario: Sweeps are refused immediately while a partition hides all upstreams of a shard
    No connection is reset. Each sweep would wait for its deadline, although nothing can
    answer it, and its caller could not ask another host in time.

    Given a router with a sweep over 4 shards of 3 upstreams each
    And no upstream of the first two shards responds
    When 40 sweeps arrive 50 ms apart
    Then the last 10 of them were refused immediately with a retry-after
    When the upstreams of the first two shards are reachable again
    And 40 sweeps arrive 50 ms apart
    Then the last 10 of them were answered completely

  Scenario: A request that runs long does not make its upstream count as unreachable
    The upstream sends nothing for a while because it is working. If it counted as
    unreachable, the caller would get an error and the upstream no work for half a
    second.

    Given a router with a route to a single service
    When a request to the single service arrives
    And 900 ms pass while its upstream accepts connections
    Then the request is still in progress
    When its attempt is answered
    Then the reply is forwarded to the caller

  Scenario: A non-idempotent request waits for an upstream that became unreachable
    It may have run, and its answer may still come when the partition heals.

    Given a router with a route for non-idempotent requests
    When a non-idempotent request arrives
    And 900 ms pass
    Then 1 attempt was sent
    And the request is still in progress

  Scenario: An upstream that rejects requests with free slots is avoided
    It reports that it ran nothing and looks idle. If the router trusted its load
    report, it would get most requests, and reject them.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When the first upstream rejects 60 sweeps 20 ms apart with free slots
    Then the first upstream got at most 20 attempts

  Scenario: An upstream of the host's own zone stays preferred after one pause
    Every upstream pauses for a moment every few seconds. If it was avoided for seconds
    each time, half of the requests would go to other zones.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When 60 sweeps take 12 ms and one takes 120 ms at the first upstream
    Then at least 9 of the next 10 sweeps go to the first upstream

  Scenario: An upstream of the host's own zone that stays slow is avoided
    Given a router with a sweep over 1 shards of 3 upstreams each
    When 60 sweeps take 12 ms and four take 80 ms at the first upstream
    Then at least 9 of the next 10 sweeps go to other upstreams

  Scenario: Two upstreams that reject every other request do not use up the budget
    They reject with free slots. Each rejection takes a token of the budget that all
    entry hosts share; once none is left, sweeps fail although the third upstream, in
    another zone and slightly busier, answers every request.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When two upstreams reject every other one of 100 sweeps and the third is busy
    Then the two rejecting upstreams got at most 25 attempts

  Scenario: A sweep is refused once too few parts can still arrive
    Two of four shards lose their answers, and there is no budget for another attempt. A
    caller that was kept waiting until its deadline could not ask another host.

    Given a router without budget and a sweep over 4 shards
    When a sweep arrives
    And its first 2 attempts are lost and the others answered
    Then the request is refused with upstreams_failed and a retry-after

  Scenario: A sweep is not started if too many shards have no upstream
    The work of the other shards would be discarded, and the caller could not be told
    that nothing ran.

    Given a router with a sweep over 4 shards of 3 upstreams each
    And all upstreams of 2 shards are gone
    When a sweep arrives
    Then the request is refused with incomplete and a retry-after
    And no attempt was sent for it

  Scenario: Hosts share the connection limit of an upstream
    The upstream resets connections above its limit of 26, together with the requests on
    them. The limit is divided by the number of known hosts plus one, as another host
    may just have started.

    Given a router that has just started, with a sweep over 1 shard
    And 9 entry hosts share the upstreams
    When a sweep arrives
    Then the host may open 2 connections to its upstream

  Scenario: A sweep is refused if no shard has an upstream
    Given a router with a sweep over 4 shards of 3 upstreams each
    And all upstreams of 4 shards are gone
    When a sweep arrives
    Then the request is refused with incomplete and a retry-after

  Scenario: A request keeps the shards of the routing table that it arrived with
    The index is split into other shards while a sweep runs. Parts of both sets together
    would count records twice.

    Given a router with a sweep over 4 shards of 3 upstreams each
    When a sweep arrives
    And a routing table with 5 other shards takes effect
    And all its attempts are answered
    Then it is answered with 4 parts and 0 missing

  Scenario: A non-idempotent request is not retried after it was sent
    The upstream's connection ends after the request was sent. The request may have run;
    sent again, it would be billed twice.

    Given a router with a route for non-idempotent requests
    When a non-idempotent request arrives
    And its attempt is lost
    Then the request is refused with upstreams_failed
    And 1 attempt was sent

  Scenario: A non-idempotent request is retried if it did not run
    The first upstream is full and reports that it did not run the request.

    Given a router with a route for non-idempotent requests
    When a non-idempotent request arrives
    And its attempt is rejected as not run
    Then 2 attempts were sent
    When the second attempt is answered
    Then the reply is forwarded to the caller

  Scenario: A non-idempotent request waits for a connection until its deadline
    No byte of it was sent. If its caller was told that it may have run, the caller
    could not send it again.

    Given a router with a route for non-idempotent requests
    And upstreams that accept no connections
    When a non-idempotent request arrives
    And 1100 ms pass
    Then the request is refused with incomplete and a retry-after
    And its attempt is released

  Scenario: A request that ran nowhere is refused with an error that says so
    Given a router with a route for non-idempotent requests
    When a non-idempotent request arrives
    And every attempt is rejected as not run
    Then the request is refused with incomplete and a retry-after

  Scenario: An error response to a non-idempotent request is forwarded
    Given a router with a route for non-idempotent requests
    When a non-idempotent request arrives
    And its attempt is answered with 500
    Then the reply is forwarded to the caller
    And 1 attempt was sent

  Scenario: A request that is not answered in time fails with deadline_exceeded
    Given a router with a route for non-idempotent requests
    When a non-idempotent request arrives
    And 1000 ms pass
    Then the request is refused with deadline_exceeded

  Scenario: Extra attempts stay within the budget shared by all hosts
    Every upstream of a shard is slow. Each host would hedge each request and double the
    load on the service when it is least able to take it.

    Given a router with a sweep over 1 shards of 3 upstreams each
    And 9 entry hosts share a budget with a burst of 20 and a ratio of 0.2
    When 200 sweeps arrive and wait 60 ms each
    Then at most 38 extra attempts were sent

  Scenario: Requests are distributed by weight
    Given a router whose route gives service one a weight of 3 and service two a weight of 1
    When 40 requests arrive and are answered
    Then service one got between 29 and 31 of them

  Scenario: A drained zone gets no requests
    Given a router with a sweep over 4 shards of 3 upstreams each
    And operators drain zone b
    When 30 sweeps arrive and are answered
    Then no attempt went to zone b

  Scenario: A draining upstream gets no new requests
    Given a router with a sweep over 1 shards of 3 upstreams each
    And the first upstream of the first shard is draining
    When 30 sweeps arrive and are answered
    Then no attempt went to the first upstream

  Scenario: An upstream whose address was reassigned gets no more requests
    The upstream is gone and its address serves another service, which answers with 421,
    as the request is meant for another upstream.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When a sweep arrives
    And its attempt is answered with 421
    Then 2 attempts were sent
    And the upstream of the first attempt gets no further attempts

  Scenario: An upstream that fails repeatedly is ejected
    Given a router with a sweep over 1 shards of 3 upstreams each
    When the first upstream loses its connection for each of 40 sweeps 20 ms apart
    Then the first upstream got at most 8 attempts

  Scenario: Requests are still sent when every upstream looks unhealthy
    All upstreams of a shard failed a moment ago. A host that sent to none of them would
    keep refusing requests after they have recovered.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When every upstream has failed 4 times
    And a sweep arrives
    Then 1 attempt was sent for it

  Scenario: All attempts are released when the caller disconnects
    Given a router with a sweep over 4 shards of 3 upstreams each
    When a sweep arrives
    And its caller disconnects
    Then all its attempts are released
    And the router keeps no state for it

  Scenario: Cold upstreams of a service get no more than their rate limit
    A zone came back and all upstreams of a service are cold. Each entry host would send
    its usual load, and together they would crash the upstreams.

    Given a router with a sweep over 1 shards of 3 cold upstreams, limited to 9 requests a second
    And 8 entry hosts share the upstreams
    When 60 sweeps arrive within a second
    Then no upstream got more than 1 attempt

  Scenario: A request that crashes the upstreams that run it is quarantined
    Each upstream that starts it closes its listener without a byte of a reply and stays
    down for seconds. Its caller resends it immediately, until every service of the
    sweep is down.

    Given a router with a sweep over 10 shards of 3 upstreams each
    And a sweep that crashes each upstream that runs it
    When its caller sends it 30 times, 100 ms apart
    Then no shard lost more than 2 upstreams
    And its caller got the error quarantined
    When another sweep arrives
    Then it is sent to every shard

  Scenario: A request that crashed upstreams at another host is quarantined here too
    Given a router with a sweep over 10 shards of 3 upstreams each
    And another host reported that a sweep crashed 2 upstreams of a shard
    When that sweep arrives here
    Then the request is refused with quarantined and a retry-after
    And no attempt was sent for it

  Scenario: A request whose answers are lost while the upstream still listens is not quarantined
    Its connection was reset by the network. The request is valid and succeeds
    elsewhere; if it was refused, its caller would get no answer for a minute.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When the answers to 5 sweeps with one fingerprint are lost
    And a sweep with that fingerprint arrives
    Then 1 attempt was sent for it

  Scenario: A lost attempt is retried only after its upstream's listener was checked
    All upstreams of a shard crash at once for another reason. The sweep that was lost
    with the first would be sent to the next before the end of that connection is
    seen, and be lost again.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When a sweep arrives
    And its attempt is lost without a byte of a reply
    Then 1 attempt was sent
    When the check shows that its upstream no longer listens
    Then 2 attempts were sent

  Scenario: The wait for the listener check is limited
    Given a router with a sweep over 1 shards of 3 upstreams each
    When a sweep arrives
    And its attempt is lost without a byte of a reply
    And 40 ms pass
    Then 2 attempts were sent

  Scenario: Requests are not quarantined when many upstreams become unreachable at once
    A partition refuses connections to its far side. The sweeps that were being sent
    there crashed nothing; if they counted as crashing, each would be refused for a
    minute.

    Given a router with a sweep over 10 shards of 3 upstreams each
    When other hosts report 2 upstream crashes for each of 8 sweeps
    Then none of these sweeps is refused

  Scenario: A request that keeps crashing upstreams after such a moment is quarantined
    It was spared together with the others, and goes on to crash one upstream after
    another.

    Given a router with a sweep over 10 shards of 3 upstreams each
    When other hosts report 2 upstream crashes for each of 8 sweeps
    And 3 seconds pass
    And another host reports a third upstream crash for the first of them
    And that sweep arrives here
    Then the request is refused with quarantined and a retry-after

  Scenario: A request whose answers a partition drops is not quarantined
    Its upstreams do not even respond to connection attempts. If they counted as
    crashed, a valid request of this caller would be refused for a minute.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When a partition drops the answers to 5 sweeps with one fingerprint
    And a sweep with that fingerprint arrives
    Then 1 attempt was sent for it

  Scenario: Upstreams that reset connections above their limit are not ejected
    Hosts lost power, and the upstreams still hold the old connections. A new one is
    reset immediately. If the upstreams were ejected for that, they would get no
    requests for seconds.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When all upstreams reset the new connections of 3 sweeps
    And a sweep arrives
    And all its attempts are answered
    Then it is answered with 1 parts and 0 missing
    And no upstream was ejected

  Scenario: A failed connection attempt takes no token of the budget
    The upstream accepts no connections any more. The next upstream is the first that
    the request reaches, so it needs no token of the budget, of which none is left.

    Given a router without budget and a sweep over 1 shards
    When a sweep arrives
    And its attempt fails to connect
    Then 2 attempts were sent
    When the second attempt is lost
    Then the request is refused with upstreams_failed

  Scenario: A quarantine ends
    A coincidence must not block a valid query forever.

    Given a router with a sweep over 10 shards of 3 upstreams each
    And another host reported that a sweep crashed 2 upstreams of a shard
    When 61 seconds pass
    And that sweep arrives here
    Then it is sent to every shard

  Scenario: A sweep is answered with the greatest records of all parts
    Equal records all count, and an incomplete record at the end of a part does not.

    When parts with records 5 1, 9 5 and 2 with an incomplete record are merged for the top 3
    Then the merged records are 9 5 5

  Scenario: A connection reset by a full upstream is retried without a token
    All hosts lost power. The upstreams still hold the old connections and reset new
    ones immediately. No request reached them, and callers would be refused for lack of
    tokens although other upstreams have free slots.

    Given a router without budget and a sweep over 1 shards
    When a sweep arrives
    And its attempt is reset on a new connection after 2 ms
    Then 2 attempts were sent

  Scenario: A reply lost on a new connection is not retried without a token
    The upstream has run the request, so another attempt is an extra one.

    Given a router without budget and a sweep over 1 shards
    When a sweep arrives
    And its attempt is reset on a new connection after 19 ms
    Then 1 attempt was sent

  Scenario: An upstream that resets connections gets none for a moment
    Each further connection would be reset as well, and its request with it.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When a sweep arrives
    And its attempt is reset on a new connection after 2 ms
    Then none of the next 5 sweeps goes to that upstream
    When 600 ms pass
    Then one of the next 5 sweeps goes to that upstream

  Scenario: The listener of an upstream is checked once for all attempts lost there
    The upstream resets connections above its limit, and each check opens one more.

    Given a router with a sweep over 1 shards of 1 upstreams each
    When 3 sweeps are lost there without a byte of a reply
    Then one listener check is made
    When the check shows that it listens
    And 3 sweeps are lost there without a byte of a reply
    Then one more listener check is made
