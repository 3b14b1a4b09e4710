Feature: A service's traffic moves to another version of its software

  Operators of the users start a rollout; upstreams of the new version are started
  beside the old ones. Some versions are bad, immediately or later, and must have
  received few requests by the time this is detected.

  Scenario: A rollout is stored in the replicated log and in its snapshots
    Given the replicated state machine with services
    When a rollout of shard-0 to v2 is requested
    Then its rollout is in phase canary
    When it is restored from its snapshot
    Then its rollout is in phase canary

  Scenario: Starting the same rollout again changes nothing
    The acknowledgement was lost on the way, so the operator sends the request again.

    Given the replicated state machine with services
    When a rollout of shard-0 to v2 is requested
    And a rollout of shard-0 to v2 is requested 1 second later
    Then the request is accepted and changes nothing

  Scenario: A repeated start request does not restart a rollout that was just rolled back
    If it counted as a new one, the bad version would get requests again.

    Given the replicated state machine with services
    When a rollout of shard-0 to v2 is requested
    And its rollout moves to phase rolled_back
    And a rollout of shard-0 to v2 is requested 3 seconds later
    Then the request is accepted and changes nothing
    When a rollout of shard-0 to v2 is requested 60 seconds later
    Then its rollout is in phase canary

  Scenario: A rollout to another version is refused while one is in progress
    Given the replicated state machine with services
    When a rollout of shard-0 to v2 is requested
    And a rollout of shard-0 to v3 is requested 1 second later
    Then the rollout request is refused with rollout_in_progress

  Scenario: A step of a deposed leader is refused
    It was on its way when the next leader decided otherwise. If it was applied, a
    version that was rolled back would get all requests.

    Given the replicated state machine with services
    When a rollout of shard-0 to v2 is requested
    And its rollout moves to phase rolled_back
    And its rollout moves to phase shifted
    Then the step is refused
    And its rollout is in phase rolled_back

  Scenario: A rollout of a service that no document names is refused
    Given the replicated state machine with services
    When a rollout of nobody to v2 is requested
    Then the rollout request is refused with unknown_service

  Scenario: A host whose reports are not acknowledged does not use the canary version
    It would not learn that the version was found bad.

    Given an entry host that knows of a rollout in phase canary
    When control hosts do not acknowledge its reports
    Then none of its next 200 requests go to the new version

  Scenario: Upstreams of another version get no requests before a rollout starts
    Given an entry host that knows 3 upstreams of v1 and 3 of v2 and no rollout
    Then none of its next 200 requests go to the new version
    When 2 upstreams of v1 leave
    Then some of its next 200 requests go to the new version

  Scenario Outline: The phase of a rollout decides which version gets requests
    Given an entry host that knows of a rollout in phase <phase>
    Then <some> of its next 200 requests go to the new version

    Examples:
      | phase       | some |
      | canary      | some |
      | shifted     | all  |
      | retiring    | all  |
      | done        | all  |
      | rolled_back | none |

  Scenario: The old version is used while the new one has no upstream
    Given an entry host that knows of a rollout in phase shifted
    When the upstreams of v2 leave
    Then none of its next 200 requests go to the new version
    And none of them is refused

  Scenario: A rollout over HTTP, from its start until it is done
    Given three control hosts and an entry host of the platform on loopback
    And two leafs of each of two shards that send heartbeats
    When the operator puts a configuration with a sweep over both shards
    Then a client's sweep is answered with both parts
    When two leafs of version v2 start beside those of the first shard
    And the operator starts a rollout of the first shard to v2 within 12 seconds
    Then the state of its rollout is running at every control host
    And a second rollout to v3 is answered with 409
    And rollouts without a target, of an unknown service and of no duration are answered with 400
    And sweeps are answered until its state is done
    And no further sweep reaches the old leafs of the first shard

  Scenario: A rollout of a bad version over HTTP is rolled back
    Given three control hosts and an entry host of the platform on loopback
    And two leafs of each of two shards that send heartbeats
    When the operator puts a configuration with a sweep over both shards
    Then a client's sweep is answered with both parts
    When two leafs of version v2 that fail start beside those of the first shard
    And the operator starts a rollout of the first shard to v2 within 20 seconds
    Then sweeps are answered until its state is rolled_back
    And no further sweep reaches the new leafs of the first shard

  Scenario: A retry goes to the proven version
    A sweep needs nearly all of its shards. A sweep whose part failed at the new version
    twice would be refused.

    Given an entry host that knows of a rollout in phase canary
    When 200 requests to the new version fail there
    Then each of them is retried at the old version

  Scenario: A report that arrives twice counts once
    Control hosts forward reports to the leader, and a host sends all its counts each
    time.

    Given the report pool of a rollout
    When host h-1 reports 10 answers, 4 of them bad, and the report arrives twice
    And host h-1 reports 12 answers, 5 of them bad
    Then the pool holds 12 answers, 5 of them bad

  Scenario: The counts of a host that restarts are kept
    Its counts start at 0 again; what it counted before stays in the sum.

    Given the report pool of a rollout
    When host h-1 reports 10 answers, 4 of them bad
    And host h-1 restarts and reports 3 answers, 1 of them bad
    Then the pool holds 13 answers, 5 of them bad

  Scenario: A late older report does not replace a newer one
    Given the report pool of a rollout
    When host h-1 reports 12 answers, 5 of them bad
    And an earlier report of host h-1 arrives late
    Then the pool holds 12 answers, 5 of them bad

  Scenario: Hosts confirm that they have no requests at old upstreams
    The old upstreams stop as soon as the rollout is done; a request there would be cut
    off.

    Given the report pool of a rollout
    When host h-1 confirms that it sends nothing there and has 0 requests there
    And host h-2 confirms that it sends nothing there and has 1 requests there
    Then h-2 is unconfirmed, and h-3 that reported nothing
    When 2 seconds pass without a report
    Then all three are unconfirmed

  Scenario: A new leader knows the age of a rollout
    It read the rollout from its disk, and only the wall clock tells when it was
    started.

    Given a control host that read a rollout started 8 seconds ago from its log
    Then it takes the rollout to be 8 seconds old
    When another rollout is started while it is up
    Then it takes that rollout to be 0 seconds old, whatever the wall clock says

  Scenario Outline: The leader decides the next phase of a rollout
    Given a rollout of 12 seconds in phase <phase>, <elapsed> seconds after its start
    When <what>
    Then <next>

    Examples:
      | phase    | elapsed | what                                                   | next                           |
      | canary   | 5       | 30 answers are good                                    | the phase stays                |
      | canary   | 8       | 30 answers are good                                    | the phase moves to shifted     |
      | canary   | 8       | 3 answers are good                                     | the phase stays                |
      | canary   | 9.1     | 3 answers are good                                     | the phase moves to shifted     |
      | canary   | 9.1     | no upstream of the new version is ready                | the phase stays                |
      | canary   | 12      | no upstream of the new version is ready                | the phase moves to rolled_back |
      | canary   | 2       | all upstreams of the old version are gone              | the phase moves to shifted     |
      | canary   | 9.1     | the version is suspect                                 | the phase stays                |
      | canary   | 11      | the version is suspect                                 | the phase moves to rolled_back |
      | canary   | 2       | the version is bad                                     | the phase moves to rolled_back |
      | canary   | 9.1     | the leader has led for 0.3 seconds and knows 0 answers | the phase stays                |
      | shifted  | 9       | it took the load for 0.3 seconds                       | the phase stays                |
      | shifted  | 9       | it took the load for 1.5 seconds                       | the phase moves to retiring    |
      | shifted  | 9       | the version is bad                                     | the phase moves to rolled_back |
      | retiring | 10      | a host has not confirmed for 0.5 seconds               | the phase stays                |
      | retiring | 10      | a host has not confirmed for 1.6 seconds               | the phase moves to done        |
      | retiring | 10      | all hosts have confirmed                               | the phase moves to done        |

  Scenario: Upstreams of the new version are ejected once all requests go there
    The upstreams of the old version are still up, and are used before one that fails.

    Given an entry host that knows of a rollout in phase shifted
    When each upstream of the new version is ejected after 4 faults in a row
    Then none of its next 20 requests go to the new version
    And none of them is refused
