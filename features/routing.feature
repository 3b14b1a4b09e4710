Feature: Requests are passed on by routes

  Scenario: The longest prefix of the request's host decides
    Given a router whose routes are /reg/ to service short and /reg/deep/ to service long
    When a request for /reg/deep/7 arrives
    Then it goes to an upstream of service long

  Scenario: No route matches
    Given a router whose routes are /reg/ to service short and /reg/deep/ to service long
    When a request for /other/ arrives
    Then the request is refused with not_found

  Scenario: No table of routes is known yet
    A host that has just started knows no route. A caller that were told "not
    found" would not ask again, though the route is there.

    Given a router without a table
    When a request for /reg/ arrives
    Then the request is refused with not_configured and told when to come back

  Scenario: A sweep answers once every shard has replied
    Given a router with a sweep over 4 shards of 3 upstreams each
    When a sweep arrives
    And all its attempts are answered
    Then it is answered with 4 parts and 0 missing

  Scenario: A straggler is hedged on another upstream
    One upstream of a shard stands still for a moment. Every sweep that it holds
    up would be late, though its neighbours are idle.

    Given a router with a sweep over 4 shards of 3 upstreams each
    When a sweep arrives
    And all its attempts but the first are answered
    And 45 ms pass
    Then a second attempt of the first shard went to another upstream
    When the second attempt is answered
    Then it is answered with 4 parts and 0 missing
    And the first attempt is released

  Scenario: Near the objective a sweep with enough parts is answered
    A shard has no upstream that replies. The caller would get a complete answer
    that comes too late to be of use.

    Given a router with a sweep over 4 shards of 3 upstreams each
    When a sweep arrives
    And all its attempts but the first are answered
    And 95 ms pass
    Then it is answered with 3 parts and 1 missing

  Scenario: A caller's time began before its request came here
    It connected first, or another host refused it, and the answer has its way to
    go. An answer that leaves at the objective comes after it.

    Given a router with a sweep over 4 shards of 3 upstreams each
    And callers who wait for 500 ms, of whom most have just connected in 6 ms
    When a sweep arrives whose caller has waited 60 ms
    And all its attempts but the first are answered
    And 34 ms pass
    Then it is answered with 3 parts and 1 missing

  Scenario: A partition takes every upstream of a shard away
    No reset says so. Each sweep would wait for its deadline, though nothing can
    answer it, and its caller could not ask elsewhere in time.

    Given a router with a sweep over 4 shards of 3 upstreams each
    And the first two shards answer nothing from now on
    When 40 sweeps arrive 50 ms apart
    Then the last 10 of them were refused at once and told when to come back
    When the upstreams of the first two shards can be reached again
    And 40 sweeps arrive 50 ms apart
    Then the last 10 of them were answered in full

  Scenario: A request lasts long at an upstream that is otherwise idle
    Nothing comes from it for a while, since it works. Counted as out of reach, its
    caller would get an error, and the upstream no work for half a second.

    Given a router with single requests
    When a single request arrives
    And 900 ms pass while its upstream can be connected to
    Then the request is not over
    When its attempt is answered
    Then the reply is passed on

  Scenario: A request that runs once waits for an upstream out of reach
    It may have run, and its answer may still come when the partition heals.

    Given a router with requests that run once
    When a request that runs once arrives
    And 900 ms pass
    Then 1 attempt was sent
    And the request is not over

  Scenario: An upstream rejects requests with slots free
    It says that it ran nothing and looks idle. Taken at its word it would get
    most requests, and reject them.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When the first upstream rejects 60 sweeps 20 ms apart with slots free
    Then it got at most 20 attempts

  Scenario: An upstream of the own zone pauses once
    It stands still for a moment every few seconds, as all upstreams do. Avoided for
    seconds each time, half of the requests would go to other zones.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When 60 sweeps take 12 ms and one takes 120 ms at the first upstream
    Then at least 9 of the next 10 sweeps go to the first upstream

  Scenario: An upstream of the own zone is slow for long
    Given a router with a sweep over 1 shards of 3 upstreams each
    When 60 sweeps take 12 ms and four take 80 ms at the first upstream
    Then at least 9 of the next 10 sweeps go to other upstreams

  Scenario: Two of three upstreams reject every other request
    They reject with slots free. Each rejection takes a token of the budget that all
    entry hosts share; once none is left, sweeps fail although the third upstream,
    in another zone and a little crowded, answers all.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When two upstreams reject every other of 100 sweeps and the third is crowded
    Then these two got at most 25 attempts

  Scenario: Too few parts can still come
    Two of four shards lose their answers and have no budget for another try. A
    caller that were left waiting until its deadline could not ask another host.

    Given a router without any budget and a sweep over 4 shards
    When a sweep arrives
    And its first 2 attempts are lost and the others answered
    Then the request is refused with upstreams_failed and told when to come back

  Scenario: Too many shards have no upstream
    What the others would run is thrown away, and the caller could not be promised
    that nothing ran.

    Given a router with a sweep over 4 shards of 3 upstreams each
    And all upstreams of 2 shards are gone
    When a sweep arrives
    Then the request is refused with incomplete and told when to come back
    And nothing of it was sent

  Scenario: Hosts share the connections of an upstream
    It resets those above its cap of 26, together with the requests on them. One host
    more than is known gets a part, as it may just have started.

    Given a router that has just started, with a sweep over 1 shard
    And 9 entry hosts share them
    When a sweep arrives
    Then its upstream may get 2 connections

  Scenario: No shard has an upstream
    Given a router with a sweep over 4 shards of 3 upstreams each
    And all upstreams of 4 shards are gone
    When a sweep arrives
    Then the request is refused with incomplete and told when to come back

  Scenario: A request pins the shards that its table names
    The index is cut into other shards while a sweep runs. Parts of both sets
    together would count records twice.

    Given a router with a sweep over 4 shards of 3 upstreams each
    When a sweep arrives
    And a table with 5 other shards comes into force
    And all its attempts are answered
    Then it is answered with 4 parts and 0 missing

  Scenario: A request that may run once is not sent again after it was sent
    The upstream's connection ends after the request was sent. It may have run;
    sent again it would be billed twice.

    Given a router with requests that run once
    When a request that runs once arrives
    And its attempt is lost
    Then the request is refused with upstreams_failed
    And 1 attempt was sent

  Scenario: A request that may run once goes on where it did not run
    The first upstream is full and says that it did not run the request.

    Given a router with requests that run once
    When a request that runs once arrives
    And its attempt is rejected as not run
    Then 2 attempts were sent
    When the second attempt is answered
    Then the reply is passed on

  Scenario: A request waits for a connection until its deadline
    Not a byte of it left. Told that it may have run, its caller could not send it
    again.

    Given a router with requests that run once
    And upstreams that take no connection for a while
    When a request that runs once arrives
    And 1100 ms pass
    Then the request is refused with incomplete and told when to come back
    And its attempt is released

  Scenario: A request that ran nowhere may be promised not to have run
    Given a router with requests that run once
    When a request that runs once arrives
    And every attempt is rejected as not run
    Then the request is refused with incomplete and told when to come back

  Scenario: An upstream's own failure of a request that runs once is passed on
    Given a router with requests that run once
    When a request that runs once arrives
    And its attempt is answered with 500
    Then the reply is passed on
    And 1 attempt was sent

  Scenario: A request that has not been answered in time
    Given a router with requests that run once
    When a request that runs once arrives
    And 1000 ms pass
    Then the request is refused with deadline_exceeded

  Scenario: Extra attempts stay within the budget of all hosts together
    Every upstream of a shard is slow. Each host would hedge each request, and
    the load on the service would double when it can least bear it.

    Given a router with a sweep over 1 shards of 3 upstreams each
    And 9 entry hosts share a burst of 20 and a ratio of 0.2
    When 200 sweeps arrive and wait 60 ms each
    Then at most 38 extra attempts were sent

  Scenario: Requests are spread by weight
    Given a router whose route gives service one 3 parts and service two 1 part
    When 40 requests arrive and are answered
    Then service one got between 29 and 31 of them

  Scenario: A zone that operators took out gets nothing
    Given a router with a sweep over 4 shards of 3 upstreams each
    And operators take zone b out
    When 30 sweeps arrive and are answered
    Then no attempt went to zone b

  Scenario: An upstream that drains gets nothing new
    Given a router with a sweep over 1 shards of 3 upstreams each
    And the first upstream of the first shard drains
    When 30 sweeps arrive and are answered
    Then no attempt went to the first upstream

  Scenario: An address that went to another upstream
    The upstream is gone and its address serves another service, which answers
    that it is not the one meant.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When a sweep arrives
    And its attempt is answered with 421
    Then 2 attempts were sent
    And the upstream of the first attempt gets nothing more

  Scenario: An upstream that fails again and again is set aside
    Given a router with a sweep over 1 shards of 3 upstreams each
    When the first upstream loses each of 40 sweeps 20 ms apart
    Then it got at most 8 attempts

  Scenario: A signal that makes every upstream look unfit
    All upstreams of a shard failed a moment ago. A host that sent to none of
    them would go on refusing after they are back.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When every upstream has failed 4 times
    And a sweep arrives
    Then 1 attempt was sent for it

  Scenario: A caller leaves
    Given a router with a sweep over 4 shards of 3 upstreams each
    When a sweep arrives
    And its caller leaves
    Then all its attempts are released
    And nothing is kept of it

  Scenario: Cold upstreams of a service get no more than they bear
    A zone came back and all of a service's upstreams are cold. Each entry host
    would send what it always sent, and together they would crash them.

    Given a router with a sweep over 1 shards of 3 cold upstreams that bear 9 a second
    And 8 entry hosts share them
    When 60 sweeps arrive within a second
    Then no upstream got more than 1 attempt

  Scenario: A request crashes the upstreams that run it
    Each upstream that begins it closes its listener without a byte of reply and
    stays away for seconds. Its caller resends it at once, until every service of
    the sweep is gone.

    Given a router with a sweep over 10 shards of 3 upstreams each
    And a sweep that crashes each upstream that runs it
    When its caller sends it 30 times, 100 ms apart
    Then no shard lost more than 2 upstreams
    And its caller was told that it is quarantined
    When another sweep arrives
    Then it goes to every shard

  Scenario: A request that crashes upstreams comes again at another host
    Given a router with a sweep over 10 shards of 3 upstreams each
    And another host reported that a sweep crashed 2 upstreams of a shard
    When that sweep arrives here
    Then the request is refused with quarantined and told when to come back
    And nothing of it was sent

  Scenario: An answer is lost and the upstream goes on listening
    Its connection was reset on the way. The request is good and runs elsewhere;
    refused, its caller would not get an answer for a minute.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When the answers to 5 sweeps with one fingerprint are lost
    And a sweep with that fingerprint arrives
    Then 1 attempt was sent for it

  Scenario: All upstreams of a shard crash at once
    Another cause took them. The sweep that was lost with the first is sent to the
    next before the end of its connection is seen, and is lost again.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When a sweep arrives
    And its attempt is lost without a byte of reply
    Then 1 attempt was sent
    When its upstream is found to listen no more
    Then 2 attempts were sent

  Scenario: A lost attempt is looked into for too long
    Given a router with a sweep over 1 shards of 3 upstreams each
    When a sweep arrives
    And its attempt is lost without a byte of reply
    And 40 ms pass
    Then 2 attempts were sent

  Scenario: Many upstreams refuse connections at one moment
    A cut refuses what goes to its far side. The sweeps that were on their way
    there did not crash anything; convicted, each would be refused for a minute.

    Given a router with a sweep over 10 shards of 3 upstreams each
    When other hosts report that each of 8 sweeps was lost with 2 upstreams
    Then none of these sweeps is refused

  Scenario: One of the requests at such a moment crashes upstreams
    It was let off with the others, and goes on to take one upstream after another.

    Given a router with a sweep over 10 shards of 3 upstreams each
    When other hosts report that each of 8 sweeps was lost with 2 upstreams
    And 3 seconds pass
    And another host reports that the first of them was lost with a third upstream
    And that sweep arrives here
    Then the request is refused with quarantined and told when to come back

  Scenario: A partition swallows the answers to a request
    Its upstreams answer nothing any more, not even an attempt to connect. Held for
    crashed, a good request of this caller would be refused for a minute.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When a partition swallows the answers to 5 sweeps with one fingerprint
    And a sweep with that fingerprint arrives
    Then 1 attempt was sent for it

  Scenario: Upstreams reset connections above their cap
    Hosts lost their power, and upstreams still hold their old connections. A new
    one is reset at once. Ejected for that, they would take nothing for seconds.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When all upstreams reset the fresh connections of 3 sweeps
    And a sweep arrives
    And all its attempts are answered
    Then it is answered with 1 parts and 0 missing
    And no upstream was ejected

  Scenario: Nothing was sent to an upstream that went away
    It takes no connection any more. The next upstream is the first that the
    request reaches, so it needs no token of the budget, of which none is left.

    Given a router without any budget and a sweep over 1 shards
    When a sweep arrives
    And its attempt finds no connection
    Then 2 attempts were sent
    When the second attempt is lost
    Then the request is refused with upstreams_failed

  Scenario: A conviction ends
    A coincidence must not keep a good query away for good.

    Given a router with a sweep over 10 shards of 3 upstreams each
    And another host reported that a sweep crashed 2 upstreams of a shard
    When 61 seconds pass
    And that sweep arrives here
    Then it goes to every shard

  Scenario: The greatest records of all parts answer a sweep
    Equal records all count, and a remainder that is no whole record does not.

    When parts with records 5 1, 9 5 and 2 with a remainder are merged for the top 3
    Then the merged records are 9 5 5

  Scenario: Connections above the cap are reset while no token is left
    All hosts lost their power. Upstreams still hold their old connections, and reset
    fresh ones at once. No request reached them, and callers would be refused for
    want of tokens beside upstreams with room.

    Given a router without any budget and a sweep over 1 shards
    When a sweep arrives
    And its attempt is reset on a fresh connection after 2 ms
    Then 2 attempts were sent

  Scenario: A reply is lost on a fresh connection while no token is left
    The upstream has run it; one more attempt is an extra one.

    Given a router without any budget and a sweep over 1 shards
    When a sweep arrives
    And its attempt is reset on a fresh connection after 19 ms
    Then 1 attempt was sent

  Scenario: An upstream that resets connections gets none for a moment
    Each further one would be reset as well, and its request with it.

    Given a router with a sweep over 1 shards of 3 upstreams each
    When a sweep arrives
    And its attempt is reset on a fresh connection after 2 ms
    Then none of the next 5 sweeps goes to that upstream
    When 600 ms pass
    Then one of the next 5 sweeps goes to that upstream

  Scenario: An upstream is looked at once for all that it lost
    It resets connections above its cap, and each look is one more.

    Given a router with a sweep over 1 shards of 1 upstreams each
    When 3 sweeps are lost at it without a byte of reply
    Then it is looked at once
    When the look shows that it listens
    And 3 sweeps are lost at it without a byte of reply
    Then it is looked at once more
