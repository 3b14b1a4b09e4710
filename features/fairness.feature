Feature: Every subscriber gets its share, and no more while others wait

  Scenario: A light subscriber goes ahead of a heavy one's backlog
    One subscriber sends far more than the upstreams can do. If work went by
    arrival, everybody else would stand behind its backlog and miss the deadline.

    Given the fairness tier with 1 upstream of 2 slots
    And heavy has 40 lookups under way that take 100 ms each
    When light submits a lookup and the fairness tier runs for 150 ms
    Then light was answered within 110 ms

  Scenario: Cost is measured time, not the number of queries
    One subscriber sends few costly queries, another many cheap ones. Counted by
    queries the costly one would get ten times the upstream time it pays for.

    Given the fairness tier with 1 upstream of 2 slots
    When heavy keeps 20 lookups of 100 ms and light 20 of 10 ms for 20 s
    Then each used between 40 and 60 percent of the upstream time

  Scenario: A share of three gets three times the upstream time
    Subscribers pay for different shares. Without weights the one that pays for
    three gets as little as the one that pays for one.

    Given the fairness tier with 1 upstream of 2 slots
    When triple and light each keep 20 lookups of 20 ms for 20 s
    Then triple used between 70 and 80 percent of the upstream time

  Scenario: What a subscriber used through other hosts counts
    A heavy subscriber spreads its queries over all hosts. If each host counted
    only its own, it would get a share on each of them.

    Given the fairness tier with 1 upstream of 2 slots
    And another host reports that heavy used 5 s of upstream time there
    And light has used 1 s through the fairness tier
    When heavy and then light wait for the one place that comes free
    Then the place goes to light

  Scenario: A burst on idle capacity is soon forgiven
    A subscriber used what nobody else wanted. Were it held against it for long,
    it would be last in the queue well after its burst had ended.

    Given the fairness tier with 1 upstream of 2 slots
    And another host reports that heavy used 5 s of upstream time there
    And the other host reports nothing any more after 8 s
    When heavy keeps 20 lookups of 20 ms and light 20 of 20 ms for 4 s
    Then each used between 40 and 60 percent of the upstream time

  Scenario: Alone, a heavy subscriber uses everything
    Capacity that nobody else asks for is lost if it is kept from a subscriber
    that could use it.

    Given the fairness tier with 3 upstream of 2 slots
    When heavy alone keeps 30 lookups of 50 ms for 2 s
    Then 6 of its lookups were in flight all the time and none was refused

  Scenario: A place stays free for those who are within their share
    All places are taken by costly work of a heavy subscriber whenever anybody
    else comes. Even at the head of the queue the others wait for the rest of it.

    Given the fairness tier with 3 upstream of 2 slots
    And heavy keeps 40 lookups of 300 ms while light had to wait once
    When light submits a lookup every 700 ms for 4 s
    Then each lookup of light was sent at once

  Scenario: The heavy one is refused early and truthfully
    Under overload somebody gets nothing. A heavy subscriber's query would wait
    until its deadline and then be late; it is told at once that it was not run.

    Given the fairness tier with 1 upstream of 2 slots
    And heavy has 40 lookups under way that take 100 ms each
    When heavy goes on sending 100 lookups a second for 3 s beside light's 2
    Then heavy was refused as share_exceeded with ran no and a time to come back
    And every lookup of light was answered

  Scenario: The operators' order holds, and the lowest still moves
    Sweeps stand above name checks, and the upstreams are saturated with sweeps.
    Without a guard a name check would never be sent, however long it waits.

    Given the fairness tier with 1 upstream of 2 slots
    When light keeps 30 sweeps and 30 name checks of 10 ms waiting for 2 s
    Then of 16 sub-requests 15 were sweeps and 1 was a name check

  Scenario: A retry keeps its place
    A sweep's first attempt is refused by its upstream. If it had to queue up
    anew, it would stand behind name checks and later sweeps.

    Given the fairness tier with 2 upstream of 1 slots
    When a sweep is refused by one upstream while later sweeps wait
    Then it is the next that is sent

  Scenario: The order of the queue equals that of a plain search
    Lazy heaps and discarded entries are easy to get wrong: a sub-request could
    be lost, sent twice, or go out of turn, and nobody would notice but its
    caller.

    Then a state machine over the fair queue finds no difference to a plain list

  Scenario: At the owner of an upstream the same order holds
    Sub-requests of all hosts meet at the owner of an upstream. By arrival, each
    host's one sub-request of a heavy subscriber would stand before the others.

    Given an owner of an upstream with 2 slots, and 9 sub-requests of heavy there
    When a sub-request of light comes to the owner and a run of heavy ends
    Then the owner sends that of light next

  Scenario: At the owner a slot stays free for those who are within their share
    A heavy subscriber's costly work fills the slots of an upstream whenever
    anybody else comes. Sub-requests over their share take only the slots that
    the others leave, whichever hosts they come from.

    Given an owner of an upstream with 2 slots, and 9 of heavy over its share there
    When a sub-request of light comes to the owner
    Then the owner has sent that of light at once beside one of heavy
