"""Applies events about hosts, upstreams, tables and roll-outs to the router's state."""

import typing

import xxhash

from greengagehaven.coordination.routing import components, events

HOSTS_PER_RECOVERY_CHECK = 16
"""One host in this many keeps sending requests to an outlier, to detect when it has
recovered."""


class StateEvents:
    """Handles the events that concern no single request.

    :param parts: components of the router.

    ``handlers_by_event`` holds the handler of each such event.
    """

    def __init__(self, *, parts: components.Components) -> None:
        self._parts = parts
        self.handlers_by_event: dict[type, typing.Callable] = {
            events.RoutingTableChanged: self._on_table,
            events.ConfigurationConfirmed: self._on_confirmed,
            events.ZonesDrained: self._on_zones_drained,
            events.HostCountChanged: self._on_hosts_counted,
            events.RolloutsChanged: self._on_rollouts,
            events.RolloutReportsAcknowledged: self._on_rollout_reports,
            events.UpstreamsChanged: self._on_upstreams,
            events.EntryHostsChanged: self._on_entry_hosts,
            events.CrashesReported: self._on_crashes,
            events.OutliersReported: self._on_outliers,
        }

    def _on_table(
        self, in_force: events.RoutingTableChanged, actions: list[events.Action]
    ) -> None:
        self._parts.admission.set_table(in_force.table)
        self._parts.key_guard.set_teams(in_force.table.teams)
        self._parts.fleet.set_limits(in_force.table.limits_by_service)
        services = frozenset(
            name for route in in_force.table.routes for name in route.service_names
        )
        self._parts.budget.retain(services)

    def _on_confirmed(
        self, confirmed: events.ConfigurationConfirmed, actions: list[events.Action]
    ) -> None:
        self._parts.key_guard.renew(confirmed.confirmed_at)

    def _on_zones_drained(
        self, drained: events.ZonesDrained, actions: list[events.Action]
    ) -> None:
        self._parts.fleet.set_drained_zones(drained.zones)

    def _on_hosts_counted(
        self, counted: events.HostCountChanged, actions: list[events.Action]
    ) -> None:
        self._parts.demand.set_host_count(counted.count)
        self._parts.fleet.set_hosts(counted.count)
        self._parts.budget.set_hosts(counted.count)
        if self._parts.usage_limit is not None:
            self._parts.usage_limit.shares.set_host_count(counted.count)

    def _on_rollouts(
        self, changed: events.RolloutsChanged, actions: list[events.Action]
    ) -> None:
        self._parts.versions.set_rollouts(changed.rollouts)

    def _on_rollout_reports(
        self, reports: events.RolloutReportsAcknowledged, actions: list[events.Action]
    ) -> None:
        self._parts.versions.set_acknowledged(reports.is_acknowledged)

    def _on_upstreams(
        self, changed: events.UpstreamsChanged, actions: list[events.Action]
    ) -> None:
        for entry in changed.entries:
            removed = self._parts.fleet.apply_entry(entry)
            if removed is not None:
                address = removed.entry.address
                actions.append(events.CloseUpstreamConnections(address=address))

    def _on_entry_hosts(
        self, changed: events.EntryHostsChanged, actions: list[events.Action]
    ) -> None:
        self._parts.delegation.set_hosts(changed.hosts)
        self._parts.borrower.set_hosts(self._parts.delegation.peer_addresses)

    def _on_crashes(
        self, reported: events.CrashesReported, actions: list[events.Action]
    ) -> None:
        self._parts.crashes.record_reports(reported.crashes)

    def _on_outliers(
        self, reported: events.OutliersReported, actions: list[events.Action]
    ) -> None:
        for outlier in reported.outliers:
            key = f"{self._parts.options.host_id}\0{outlier.upstream_id}".encode()
            if xxhash.xxh64_intdigest(key) % HOSTS_PER_RECOVERY_CHECK:
                self._parts.fleet.record_outlier(outlier)
