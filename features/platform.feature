Feature: The platform's formats and its request path

  Scenario: Settings are parsed
    Given the platform's settings of a control host
    Then its peer address is 10.1.0.42:7740
    And the peer addresses of its seeds are 10.1.0.42:7740 and 10.2.0.36:7740

  Scenario: Unknown fields are ignored
    Given the platform's settings of a control host
    When the line future.field=x is added to the settings
    Then its peer address is 10.1.0.42:7740

  Scenario Outline: A required field is missing or a field is invalid
    Given the platform's settings of a control host
    When the settings' line of <field> is replaced by <line>
    Then the settings are refused, naming <field>

    Examples:
      | field             | line                      |
      | node              | node=                     |
      | ip                | ip=nowhere                |
      | seeds             | seeds=10.1.0.42           |
      | internalPorts     | internalPorts=x,y         |
      | bootstrap         | bootstrap=maybe           |
      | bounds.retryRatio | bounds.retryRatio=-1      |
      | heartbeatMs       | heartbeatMs=soon          |

  Scenario: A configuration is parsed into a route table
    Given a configuration of the platform
    Then a request to leno12.example for /nono601/no91/2f is a sweep over 2 shards
    And a request to leno12.example for /rany330/x runs at most once
    And a request to leno12.example for /other/ has no route

  Scenario Outline: An invalid configuration is refused
    An operator's mistake that was accepted would fail every request of a route.

    Given a configuration of the platform
    When the configuration has <mistake>
    Then the configuration is refused

    Examples:
      | mistake                       |
      | its last half cut off         |
      | a route to an unknown service |
      | two routes at the same place  |
      | weights that add up to 0      |
      | a timeout of 0                |
      | a shard named twice           |
      | a version that is text        |
      | two teams with one key        |
      | two teams of one name         |
      | a team with a negative rate   |

  Scenario: The mistake of two teams with one key does not show the key
    Mistakes are logged and returned to operators.

    Given a configuration of the platform
    When the configuration has two teams with one key
    Then the mistake names tenants[0].apiKeys[0] and tenants[1].apiKeys[1]
    And the mistake does not show a key

  Scenario: A team's priority takes precedence over the route's
    Given a configuration of the platform
    When the configuration has two teams
    Then a key of the first team has priority 0 and one of the second has none

  Scenario: A heartbeat is parsed into an upstream
    Given a heartbeat of a leaf
    Then it is read as an upstream of service huvo11a in zone midt-a

  Scenario Outline: An invalid heartbeat is refused
    Another process writes to the same address. If it were taken for an upstream,
    it would get requests.

    Given a heartbeat of a leaf
    When the heartbeat has <fault>
    Then it is refused as a heartbeat

    Examples:
      | fault                     |
      | no service                |
      | an unknown state          |
      | an address without a port |
      | a port above 65535        |
      | a port with a sign        |
      | a port in other digits    |
      | arrays 100000 levels deep |
      | slots that are text       |
      | a start time that is text |
      | a sequence of 128 bits    |
      | a start time of 128 bits  |
      | slots of 128 bits         |
      | a cold start of 1e300 ms  |
      | invalid JSON              |

  Scenario: A sweep is served, leafs drain and a zone is evacuated
    Given three control hosts and an entry host of the platform on loopback
    And two leafs of each of two shards that send heartbeats
    When the operator puts a configuration with a sweep over both shards
    Then a client's sweep is answered with both parts
    And the configuration is read back at every control host
    And an entry host and a control host expose metrics of requests and of control
    When a leaf of each shard drains
    Then the heartbeat that reports it is acknowledged
    And from 3 seconds after that at the latest, no sweep reaches those leafs
    When the operator evacuates the zone of the remaining leafs
    Then a client's sweep is refused at once with 503

  Scenario: Another program reports the addresses of sound leafs
    A single heartbeat of a program that is no leaf took each of them out of use for good.

    Given three control hosts and an entry host of the platform on loopback
    And two leafs of each of two shards that send heartbeats
    When the operator puts a configuration with a sweep over both shards
    Then a client's sweep is answered with both parts
    When another program reports the address of each leaf for a service of its own
    Then 30 sweeps within 3 seconds are answered with both parts

  Scenario: Requests need a key of a team, and upstreams see the team only
    An upstream that saw keys could use them. A caller that could set the team's
    header itself would be taken for another team.

    Given three control hosts and an entry host of the platform on loopback
    And two leafs of each of two shards that send heartbeats
    When the operator puts a configuration with two teams
    Then a client's sweep with a key of the first team is answered
    And the upstreams see the first team and no key
    And a client's sweep without a key gets 401 and reaches no upstream
    And a client's sweep with an unknown key gets 401 and reaches no upstream

  Scenario: A public route needs no key and passes none on
    Given three control hosts and an entry host of the platform on loopback
    And two leafs of each of two shards that send heartbeats
    When the operator puts a configuration with two teams and a public sweep
    Then a client's sweep with a key of the first team is answered
    And the upstreams see no team and no key

  Scenario: A control host without a quorum refuses reads and writes
    Two of three control hosts have stopped. The configuration of the last one may
    be older than what the others acknowledged.

    Given three control hosts and an entry host of the platform on loopback
    When the operator puts a configuration with a sweep over both shards
    And two control hosts stop
    Then reading the configuration at the last one returns 503
    And putting another configuration there returns 503

  Scenario: An entry host stops while the load balancer still sends
    The load balancer notices after two or three seconds. If the host refused
    connections in the meantime, those callers would get no answer.

    Given three control hosts and an entry host of the platform on loopback
    And two leafs of each of two shards that send heartbeats
    When the operator puts a configuration with a sweep over both shards
    And the entry host begins to drain
    Then it is not ready
    And a client's sweep is answered with both parts and the connection closed

  Scenario: The metrics of hosts that run as processes are read
    Guards against metrics that fail with status 500 because a module that the library
    for them imports is blocked in these processes.

    Given control and entry hosts of the platform as processes
    Then each host serves its metrics
