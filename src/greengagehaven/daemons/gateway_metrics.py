"""Metrics registry of an entry host that routes requests."""

import typing
from collections import abc

from greengagehaven.coordination import control_contact
from greengagehaven.coordination.routing import router as router_module
from greengagehaven.daemons import delegation_server, exposition
from greengagehaven.transport import exchanges, http_peers, http_server


def make_registry(
    *,
    router: router_module.Router,
    delegations: delegation_server.DelegationServer,
    channel: exchanges.ExchangeChannel,
    client: http_peers.HttpPeerClient,
    server: http_server.HttpServer,
    contact: control_contact.ControlContact,
    revision: abc.Callable[[], int],
    has_refused_settings: abc.Callable[[], bool],
) -> typing.Any:
    """Return a registry; imports the Prometheus library on first use.

    :param delegations: attempts that other entry hosts delegate to this one.
    :param channel: connections to upstreams.
    :param client: calls to other hosts.
    :param server: connections of callers.
    :param contact: contact with the control hosts.
    :param revision: returns the revision of the configuration in force.
    :param has_refused_settings: returns whether the newest settings were refused.
    """
    gauges: dict[str, tuple[str, abc.Callable[[], float]]] = {
        "routed_in_flight": (
            "Requests in flight, not answered yet",
            lambda: router.in_flight,
        ),
        "routed_gathers": (
            "Calls from other hosts with attempts that are not reported yet",
            lambda: delegations.in_flight,
        ),
        "routed_revision": ("Revision of the configuration in force", revision),
        "routed_newest_revision": (
            "Newest configuration revision that a control host named",
            lambda: contact.newest_revision,
        ),
        "routed_control_age_seconds": (
            "Time since a control host that reaches a majority replied",
            lambda: contact.age,
        ),
        "routed_control_hosts": (
            "Control hosts that reach a majority and replied recently",
            lambda: len(contact.current_addresses),
        ),
        "routed_rollouts": (
            "Roll-outs in progress that this host knows of",
            lambda: len(router.rollout_reports()),
        ),
        "routed_upstreams": (
            "Upstreams that this host knows of",
            lambda: len(router.fleet.upstreams_by_id),
        ),
        "routed_connections_opened": (
            "Connections opened to upstreams since the start",
            lambda: channel.connections_opened,
        ),
    }
    collectors: list[typing.Any] = []
    if router.key_guard.lease is not None:
        collectors.append(exposition.KeyLeaseCollector(guard=router.key_guard))
    collectors += [
        exposition.GatewayCollector(counted=router.counts, gauges=gauges),
        exposition.TrafficCollector(traffic=client.call_counts),
        exposition.SettingsCollector(is_refused=has_refused_settings),
        exposition.TaskCollector(),
        exposition.ServerCollector(server=server),
    ]
    limit = router.usage_limit
    if limit is not None:
        collectors.append(
            exposition.UsageCollector(refused_by_team=limit.refused_by_team)
        )
    return exposition.make_registry(*collectors)
