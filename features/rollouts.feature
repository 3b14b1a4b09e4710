Feature: A service's traffic moves to another version of its software

  The users' operators order it; upstreams of the new version are started beside the old
  ones. Some versions are bad, at once or later, and must have met few requests by the
  time that this is found out.

  Scenario: An order is a record of the log
    Given the log's state machine with services
    When shard-0 is ordered to v2
    Then its roll-out is in phase canary
    When it is restored from its snapshot
    Then its roll-out is in phase canary

  Scenario: The same order again is the same roll-out
    Its acknowledgement was lost on the way, so the operator sends it again.

    Given the log's state machine with services
    When shard-0 is ordered to v2
    And shard-0 is ordered to v2 1 second later
    Then the order is accepted and nothing has changed

  Scenario: The same order comes again just after it was rolled back
    Taken for a new one, it would give the bad version a second chance.

    Given the log's state machine with services
    When shard-0 is ordered to v2
    And its roll-out goes on to rolled_back
    And shard-0 is ordered to v2 3 seconds later
    Then the order is accepted and nothing has changed
    When shard-0 is ordered to v2 60 seconds later
    Then its roll-out is in phase canary

  Scenario: Another version is ordered meanwhile
    Given the log's state machine with services
    When shard-0 is ordered to v2
    And shard-0 is ordered to v3 1 second later
    Then the order is refused as rollout_in_progress

  Scenario: A step of a leader that fell
    It was on its way when the next leader decided otherwise. Obeyed, a version that was
    rolled back would get all requests.

    Given the log's state machine with services
    When shard-0 is ordered to v2
    And its roll-out goes on to rolled_back
    And its roll-out goes on to shifted
    Then the step is refused
    And its roll-out is in phase rolled_back

  Scenario: A service that no document names
    Given the log's state machine with services
    When nobody is ordered to v2
    Then the order is refused as unknown_service

  Scenario: A host that nobody hears sends nothing to a version that is not proved
    It would not hear that the version was found bad.

    Given an entry host that knows of a roll-out in phase canary
    When control hosts do not take its reports
    Then none of its next 200 requests go to the new version

  Scenario: Upstreams of another version are heard of before the order
    Given an entry host that knows 3 upstreams of v1 and 3 of v2 and no roll-out
    Then none of its next 200 requests go to the new version
    When 2 upstreams of v1 leave
    Then some of its next 200 requests go to the new version

  Scenario Outline: Which version gets requests
    Given an entry host that knows of a roll-out in phase <phase>
    Then <some> of its next 200 requests go to the new version

    Examples:
      | phase       | some |
      | canary      | some |
      | shifted     | all  |
      | retiring    | all  |
      | done        | all  |
      | rolled_back | none |

  Scenario: The new version has no upstream yet when all requests are to go there
    Given an entry host that knows of a roll-out in phase shifted
    When the upstreams of v2 leave
    Then none of its next 200 requests go to the new version
    And none of them is refused

  Scenario: The whole path, over HTTP
    Given three control hosts and an entry host of the platform on loopback
    And two leafs of each of two shards that beat
    When the operator puts a configuration with a sweep over both shards
    Then a client's sweep is answered with both parts
    When two leafs of version v2 start beside those of the first shard
    And the operator orders the first shard to v2 within 12 seconds
    Then the state of its roll-out is running, at every control host
    And a second order to v3 is answered 409
    And orders without a target, of an unknown service and of no duration are answered 400
    And sweeps are answered until its state is done
    And no further sweep reaches its old leafs

  Scenario: The whole path, and the new version is bad
    Given three control hosts and an entry host of the platform on loopback
    And two leafs of each of two shards that beat
    When the operator puts a configuration with a sweep over both shards
    Then a client's sweep is answered with both parts
    When two leafs of version v2 that fail start beside those of the first shard
    And the operator orders the first shard to v2 within 20 seconds
    Then sweeps are answered until its state is rolled_back
    And no further sweep reaches its new leafs

  Scenario: A further attempt goes to a proved version
    A sweep needs nearly all of its shards. One that failed at the new version and again
    there would be refused.

    Given an entry host that knows of a roll-out in phase canary
    When 200 requests that go to the new version fail there
    Then each of them is asked again at the old one

  Scenario: A report that comes by two ways counts once
    Control hosts hand reports on to the leader, and the host sends all its counts each
    time.

    Given the reports of a roll-out
    When host h-1 reports 10 answers, 4 of them bad, and the report comes twice
    And host h-1 reports 12 answers, 5 of them bad
    Then the leader knows of 12 answers, 5 of them bad

  Scenario: A host restarts in the middle of a roll-out
    Its counts begin at 0 again; what it saw before counts on.

    Given the reports of a roll-out
    When host h-1 reports 10 answers, 4 of them bad
    And host h-1 restarts and reports 3 answers, 1 of them bad
    Then the leader knows of 13 answers, 5 of them bad

  Scenario: A late report of before does not undo the newer one
    Given the reports of a roll-out
    When host h-1 reports 12 answers, 5 of them bad
    And a report of host h-1 of before comes late
    Then the leader knows of 12 answers, 5 of them bad

  Scenario: Hosts confirm that nothing of theirs is at an old upstream
    At done the old upstreams stop at once; a request there would be cut off.

    Given the reports of a roll-out
    When host h-1 says that it sends nothing there and has 0 requests there
    And host h-2 says that it sends nothing there and has 1 requests there
    Then h-2 is waited for, and h-3 that said nothing
    When 2 seconds pass without a report
    Then all three are waited for

  Scenario: Another control host begins to lead in the middle
    It read the order from its disk, and the wall clock alone tells when that was given.

    Given a control host that found an order of 8 seconds before in its log
    Then the order is 8 seconds old for it
    When another order comes while it is up
    Then that order is 0 seconds old for it, whatever the wall clock says

  Scenario Outline: What the leader decides
    Given a roll-out of 12 seconds in phase <phase>, <elapsed> seconds after the order
    When <what>
    Then <next>

    Examples:
      | phase    | elapsed | what                                        | next                          |
      | canary   | 5       | 30 answers are sound                        | it stays                      |
      | canary   | 8       | 30 answers are sound                        | it goes on to shifted         |
      | canary   | 8       | 3 answers are sound                         | it stays                      |
      | canary   | 9.1     | 3 answers are sound                         | it goes on to shifted         |
      | canary   | 9.1     | no upstream of the new version is ready     | it stays                      |
      | canary   | 12      | no upstream of the new version is ready     | it goes on to rolled_back     |
      | canary   | 2       | the others are all gone                     | it goes on to shifted         |
      | canary   | 9.1     | the version is suspect                      | it stays                      |
      | canary   | 11      | the version is suspect                      | it goes on to rolled_back     |
      | canary   | 2       | the version is bad                          | it goes on to rolled_back     |
      | canary   | 9.1     | the leader has led for 0.3 seconds and knows of 0 answers | it stays        |
      | shifted  | 9       | it bore the load for 0.3 seconds            | it stays                      |
      | shifted  | 9       | it bore the load for 1.5 seconds            | it goes on to retiring        |
      | shifted  | 9       | the version is bad                          | it goes on to rolled_back     |
      | retiring | 10      | a host has not confirmed for 0.5 seconds    | it stays                      |
      | retiring | 10      | a host has not confirmed for 1.6 seconds    | it goes on to done            |
      | retiring | 10      | all hosts have confirmed                    | it goes on to done            |

  Scenario: Upstreams of the new version are ejected once all requests go there
    The others are still up, and are used before one that fails.

    Given an entry host that knows of a roll-out in phase shifted
    When each upstream of the new version fails twice in a row
    Then none of its next 20 requests go to the new version
    And none of them is refused
