Feature: A late copy of an operator's order does not undo the orders that followed

  Scenario Outline: A copy that waited <where> arrives after the next order
    The operator moved on to another control host, and evacuated the zone again. The
    copy put the zone back into use, for good.

    Given control and entry hosts of the platform as processes
    And an evacuated zone
    When a copy of the order to restore it waits <where> while the operator restores the zone and evacuates it again
    And the copy arrives
    Then the zone is still evacuated

    Examples:
      | where                            |
      | in a paused follower             |
      | in the paused leader             |
      | on the operator's own connection |

  Scenario Outline: A copy of <order> that waited on the link to the leader arrives after another change
    The host that passed it on is sound, and so is the leader: only the connection
    between them stalled.

    Given three control hosts and an entry host of the platform on loopback
    And the operator has put a configuration
    When a follower's copy of <order> stalls on its way to the leader
    And <next> is accepted by another host
    And the stalled copy arrives
    Then it has changed nothing

    Examples:
      | order                     | next                                     |
      | the restoration of zone a | the restoration and evacuation of zone a |
      | the evacuation of zone a  | the evacuation and restoration of zone a |
      | a roll-out                | another configuration                    |

  Scenario: Orders of a client that waits are carried out although the host lags behind
    The leader rejects an order that is based on a revision that was replaced. A host
    that has not heard of the newest change must not refuse the order for that.

    Given three control hosts and an entry host of the platform on loopback
    And the operator has put a configuration
    When the operator evacuates and restores a zone 20 times, each time at another host
    Then every order is acknowledged at the first attempt
