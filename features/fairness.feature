Feature: Subscribers share upstream time in proportion to their weights

  Scenario: A light subscriber is served before a heavy one's backlog
    One subscriber sends far more than the upstreams can handle. In arrival order,
    all others would queue behind its backlog and miss their deadlines.

    Given the fairness tier with 1 upstream of 2 slots
    And heavy has 40 lookups in progress that take 100 ms each
    When light submits a lookup and the fairness tier runs for 150 ms
    Then light was answered within 110 ms

  Scenario: Usage is measured upstream time, not the number of queries
    One subscriber sends few expensive queries, another many cheap ones. If queries
    were counted, the expensive one would get ten times the upstream time it pays
    for.

    Given the fairness tier with 1 upstream of 2 slots
    When heavy keeps 20 lookups of 100 ms and light 20 of 10 ms for 20 s
    Then each used between 40 and 60 percent of the upstream time

  Scenario: A share of three gets three times the upstream time
    Subscribers pay for different shares. Without weights the one that pays for
    three gets no more than the one that pays for one.

    Given the fairness tier with 1 upstream of 2 slots
    When triple and light each keep 20 lookups of 20 ms for 20 s
    Then triple used between 70 and 80 percent of the upstream time

  Scenario: Usage through other hosts counts
    A heavy subscriber spreads its queries over all hosts. If each host counted
    only its own queries, the subscriber would get a share on each of them.

    Given the fairness tier with 1 upstream of 2 slots
    And another host reports that heavy used 5 s of upstream time there
    And light has used 1 s through the fairness tier
    When heavy and then light wait for the only free slot
    Then light gets the slot

  Scenario: Past usage of idle capacity decays quickly
    A subscriber used capacity that nobody else wanted. If that counted for long,
    it would stay last in the queue well after its burst.

    Given the fairness tier with 1 upstream of 2 slots
    And another host reports that heavy used 5 s of upstream time there
    And the other host sends no more reports for 8 s
    When heavy keeps 20 lookups of 20 ms and light 20 of 20 ms for 4 s
    Then each used between 40 and 60 percent of the upstream time

  Scenario: A heavy subscriber may use all capacity while it is alone
    Capacity that nobody else requests is wasted if it is withheld from a
    subscriber that could use it.

    Given the fairness tier with 3 upstream of 2 slots
    When heavy alone keeps 30 lookups of 50 ms for 2 s
    Then 6 of its lookups were in flight all the time and none was refused

  Scenario: A slot is reserved for subscribers within their share
    Expensive work of a heavy subscriber occupies all slots whenever another one
    sends a query. Even at the head of the queue the others wait until it ends.

    Given the fairness tier with 3 upstream of 2 slots
    And heavy keeps 40 lookups of 300 ms while light had to wait once
    When light submits a lookup every 700 ms for 4 s
    Then each lookup of light was sent immediately

  Scenario: A subscriber over its share is refused early and truthfully
    Under overload some queries cannot be served. A heavy subscriber's query would
    wait until its deadline and still be late; it is refused immediately as not
    run.

    Given the fairness tier with 1 upstream of 2 slots
    And heavy has 40 lookups in progress that take 100 ms each
    When heavy goes on sending 100 lookups a second for 3 s beside light's 2
    Then heavy was refused as share_exceeded with ran no and a retry time
    And every lookup of light was answered

  Scenario: Priorities are respected without starving the lowest
    Sweeps have a higher standing than name checks, and the upstreams are saturated
    with sweeps. Without starvation protection a name check would never be sent.

    Given the fairness tier with 1 upstream of 2 slots
    When light keeps 30 sweeps and 30 name checks of 10 ms waiting for 2 s
    Then of 16 sub-requests 15 were sweeps and 1 was a name check

  Scenario: A retry keeps its position in the queue
    A sweep's first attempt is refused by its upstream. If it were queued again at
    the end, it would wait behind name checks and later sweeps.

    Given the fairness tier with 2 upstream of 1 slots
    When a sweep is refused by one upstream while later sweeps wait
    Then it is sent next

  Scenario: The order of the queue equals that of a plain search
    Lazy heaps and discarded entries are error-prone: a sub-request could be lost,
    sent twice or sent out of order, and only its caller would notice.

    Then a state machine over the fair queue finds no difference to a plain list

  Scenario: The owner of an upstream applies the same order
    Sub-requests of all hosts meet at the owner of an upstream. In arrival order,
    each host's one sub-request of a heavy subscriber would precede the others.

    Given an owner of an upstream with 2 slots, and 9 sub-requests of heavy there
    When light sends a sub-request to the owner and one of heavy ends
    Then the owner sends the sub-request of light next

  Scenario: The owner reserves a slot for subscribers within their share
    A heavy subscriber's expensive work fills the slots of an upstream whenever
    another one sends a query. Sub-requests over their share get only the slots
    that the others leave free, whichever hosts they come from.

    Given an owner of an upstream with 2 slots, and 9 of heavy over its share there
    When light sends a sub-request to the owner
    Then the owner has sent that of light immediately beside one of heavy
