Feature: The platform's formats

  Scenario: Settings are read
    Given the platform's settings of a control host
    Then its peer address is 10.1.0.42:7740
    And its seeds answer other hosts at 10.1.0.42:7740 and 10.2.0.36:7740

  Scenario: Fields that nobody here knows are ignored
    Given the platform's settings of a control host
    When the settings gain the line future.field=x
    Then its peer address is 10.1.0.42:7740

  Scenario Outline: A field that is needed is missing or odd
    Given the platform's settings of a control host
    When the settings' line of <field> becomes <line>
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

  Scenario: A configuration is read as a table
    Given a configuration of the platform
    Then a request to leno12.example for /nono601/no91/2f is a sweep over 2 shards
    And a request to leno12.example for /rany330/x runs once at most
    And a request to leno12.example for /other/ has no route

  Scenario Outline: A configuration that must not come into force
    An operator's mistake that were taken would stop every request of a route.

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

  Scenario: A beat names an upstream
    Given a beat of a leaf
    Then it names an upstream of service huvo11a in zone midt-a

  Scenario Outline: A beat of another writer
    Something else writes to the same address. Taken for an upstream, it would
    get requests.

    Given a beat of a leaf
    When the beat has <fault>
    Then it names no upstream

    Examples:
      | fault                     |
      | no service                |
      | a state of its own        |
      | an address without a port |
      | slots that are text       |
      | a birth that is text      |
      | bytes that are no JSON    |

  Scenario: The whole path
    Given three control hosts and an entry host of the platform on loopback
    And two leafs of each of two shards that beat
    When the operator puts a configuration with a sweep over both shards
    Then a client's sweep is answered with both parts
    And the configuration is read back at every control host
    And the metrics of an entry host and of a control host tell of both
    When a leaf of each shard drains
    Then the beat that says so is acknowledged
    And no further sweep reaches those leafs
    When the operator evacuates the zone of the leafs that are left
    Then a client's sweep is refused at once with 503

  Scenario: A control host that lost its quorum
    Two of three control hosts are gone. What the last one holds may be older
    than what the others acknowledged.

    Given three control hosts and an entry host of the platform on loopback
    When the operator puts a configuration with a sweep over both shards
    And two control hosts stop
    Then reading the configuration at the last one gives 503
    And putting another one there gives 503

  Scenario: An entry host stops while the balancer still sends
    The balancer notices after two seconds or three. A connection that is
    refused meanwhile is a caller without an answer.

    Given three control hosts and an entry host of the platform on loopback
    And two leafs of each of two shards that beat
    When the operator puts a configuration with a sweep over both shards
    And the entry host is told to stop
    Then it is not ready
    And a client's sweep is answered with both parts and the connection closed
