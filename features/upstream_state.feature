Feature: Requests avoid upstreams whose machine is slow at this moment

  Scenario Outline: A load report may have a fourth value
    The value changes many times a second and comes from outside. A report that is
    rejected for its fourth value would lose the other three, and a work time of 0 or
    infinity would decide every choice of an upstream.

    When an upstream reports the load "<text>"
    Then the load read is <load>

    Examples:
      | text          | load                    |
      | 1,2,4         | 1, 2, 4 and no work time |
      | 1, 2, 4, 250  | 1, 2, 4 and 250         |
      | 1,2,4,99.5    | 1, 2, 4 and 99.5        |
      | 1,2,4,x       | 1, 2, 4 and no work time |
      | 1,2,4,        | 1, 2, 4 and no work time |
      | 1,2,4,0       | 1, 2, 4 and no work time |
      | 1,2,4,inf     | 1, 2, 4 and no work time |
      | 1,2,4,nan     | 1, 2, 4 and no work time |
      | 1,2,4,-100    | 1, 2, 4 and no work time |
      | 1,2           | none                    |
      | 1,2,4,100,7   | none                    |
      | a,2,4,100     | none                    |

  Scenario: An upstream that reports a slow machine is avoided for that period
    15 in 100 upstreams are 2.5 times slower at any moment, for some 600 ms each. A
    request sent there misses its objective although other replicas are idle. If the
    report kept its weight for longer, recovered upstreams would stay idle.

    Given a service with 2 equal upstreams
    When one of them replies that work takes 250 percent of the usual time
    Then the next 20 requests go to the other one
    And 2 seconds later both get requests

  Scenario: What the machine's state explains is not remembered as slowness
    Slow latencies are remembered for seconds, because upstreams that are slow without
    a report stay so. A slow period of a machine is over much sooner.

    Given a service with 2 equal upstreams
    When one of them replies after 2.5 times the usual time, reporting 250 percent
    Then its slowness is below 1.1
    When the other one replies after 2.5 times the usual time, reporting 100 percent
    Then its slowness is above 1.2

  Scenario: A helper passes the work time on
    Sub-requests of a sweep are mostly sent by other hosts. Without the value in their
    reports, a host would learn nothing of the upstreams of its own sweeps.

    Given a helper that gathers from 3 upstreams, of which one replies late
    When it is called while the upstreams report a work time of 250 percent
    Then the work time of all 3 parts is 250 percent

  Scenario: A helper's report can be read by a host of an earlier version
    During a rolling restart both versions delegate attempts to each other. A host that
    could not read a report would lose all parts in it.

    When a report with a work time is read by a host of an earlier version
    Then it finds the load with three values
    When a report of a host of an earlier version is read
    Then it has no work time

  Scenario: A slow machine in the own zone is avoided for another zone
    Replicas of a shard often stand in a zone each. Healthy upstreams of another zone
    cost bytes and are not preferred for a small difference, but a machine that is 2.5
    times slower makes the whole sweep late.

    Given a service with 2 equal upstreams, the second in another zone
    When one of them replies that work takes 250 percent of the usual time
    Then the next 5 requests go to the other one
    And 2 seconds later the first one gets requests again

  Scenario: The age of the reports that decisions use is measured
    If the exchange between hosts fails, requests are still answered, only later. The
    age of the reports shows it.

    Given a service with 2 equal upstreams
    Then the ages of 28 to 30 reports were measured
    When its upstreams reply with three values only
    Then the ages of 32 to 34 reports were measured
