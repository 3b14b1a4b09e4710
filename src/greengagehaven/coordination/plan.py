"""Pinning: which snapshot and partitioning a query is answered from.

A query is answered from one snapshot of the whole register and one
partitioning of each service. The newest snapshot that live upstreams cover in
full is taken; where none is, the one with the best coverage. The total comes
from the pinned partitioning, so that a shard without a replica counts as
missing and is never forgotten.
"""

import dataclasses
import typing
from collections import abc

from greengagehaven.protocol import upstream
from greengagehaven.state import directory

Usable = typing.Callable[[upstream.Announcement], bool]
Holders = dict[tuple[int, int], tuple[str, ...]]

_SNAPSHOTS_REMEMBERED = 16
_PARTITIONINGS_REMEMBERED = 8
_PINS_CACHED = 256


class Version(typing.NamedTuple):
    """What one service is answered from."""

    service: str
    snapshot: int
    partitioning: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardTarget:
    """One shard of a plan and the upstreams that can answer it."""

    ref: upstream.ShardRef
    partitioning: int
    upstream_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServicePlan:
    """All shards of one service under the pinned partitioning."""

    service: str
    partitioning: int
    targets: tuple[ShardTarget, ...]

    @property
    def covered(self) -> int:
        """Return how many shards have an upstream."""
        return sum(1 for target in self.targets if target.upstream_ids)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """Snapshot and targets of one query."""

    snapshot: int
    targets: tuple[ShardTarget, ...]

    @property
    def uncovered(self) -> tuple[ShardTarget, ...]:
        """Return the shards that no usable upstream can answer."""
        return tuple(target for target in self.targets if not target.upstream_ids)


class Planner:
    """Pins plans over the directory; remembers partitionings.

    A service whose last upstream has gone keeps the shard count it was last
    seen with: otherwise its shards would drop out of the total, and a partial
    search would be presented as complete.

    :param directory: the live upstreams.
    """

    def __init__(self, *, directory: directory.DirectoryView) -> None:
        self._directory = directory
        self._shard_counts_by_service: dict[str, dict[int, int]] = {}
        self._snapshots_seen: set[int] = set()
        self._services_by_upstream: dict[str, frozenset[str]] = {}
        self._plans_by_service: dict[str, dict[int, ServicePlan | None]] = {}
        self._holders_by_service: dict[str, dict[int, Holders]] = {}
        self._snapshots_by_service: dict[str, frozenset[int]] = {}
        self._pins_by_services: dict[tuple[str, ...], Plan | None] = {}

    def invalidate(self, upstream_ids: abc.Iterable[str] | None = None) -> None:
        """Forget cached plans, because upstreams or their usability changed.

        :param upstream_ids: those that changed; ``None`` for any of them.
        """
        self._pins_by_services.clear()
        if upstream_ids is None:
            self._plans_by_service.clear()
            self._holders_by_service.clear()
            self._snapshots_by_service.clear()
            return
        for upstream_id in upstream_ids:
            services = self._services_by_upstream.pop(upstream_id, frozenset())
            announcement = self._directory.upstreams_by_id.get(upstream_id)
            if announcement is not None:
                services |= self._remember(announcement)
            for service in services:
                self._plans_by_service.pop(service, None)
                self._holders_by_service.pop(service, None)
                self._snapshots_by_service.pop(service, None)

    def pin(
        self,
        services: tuple[str, ...],
        *,
        usable: Usable,
        excluded: frozenset[Version] = frozenset(),
    ) -> Plan | None:
        """Return the plan for a query over ``services``.

        :param services: names of services, without repeats.
        :param usable: whether an upstream may get new work; the answer may
            change only together with a call of :meth:`invalidate`.
        :param excluded: versions that proved unusable.
        :return: ``None`` where a service has never been seen.
        """
        if excluded:
            return self._pin(services, usable, excluded)
        if services in self._pins_by_services:
            return self._pins_by_services[services]
        if len(self._pins_by_services) >= _PINS_CACHED:
            self._pins_by_services.clear()
        pinned = self._pin(services, usable, excluded)
        self._pins_by_services[services] = pinned
        return pinned

    def _pin(
        self,
        services: tuple[str, ...],
        usable: Usable,
        excluded: frozenset[Version],
    ) -> Plan | None:
        best: tuple[float, int] | None = None
        best_plans: list[ServicePlan] = []
        for snapshot in sorted(self._snapshots_of(services, usable), reverse=True):
            plans = [
                self._plan_service(service, snapshot, usable, excluded)
                for service in services
            ]
            if any(plan is None for plan in plans):
                continue
            known = typing.cast(list[ServicePlan], plans)
            score = _coverage(known)
            if best is None or score > best[0]:
                best = (score, snapshot)
                best_plans = known
            if score == 1.0:
                break
        if best is None:
            return None
        targets = tuple(target for plan in best_plans for target in plan.targets)
        return Plan(snapshot=best[1], targets=targets)

    def _snapshots_of(self, services: tuple[str, ...], usable: Usable) -> set[int]:
        snapshots: set[int] = set()
        for service in services:
            if service not in self._snapshots_by_service:
                self._snapshots_by_service[service] = self._find_snapshots(
                    service, usable
                )
            snapshots |= self._snapshots_by_service[service]
        if not snapshots and self._snapshots_seen:
            snapshots.add(max(self._snapshots_seen))
        return snapshots

    def _find_snapshots(self, service: str, usable: Usable) -> frozenset[int]:
        snapshots: set[int] = set()
        for shard_ref in self._directory.shards_of(service):
            for upstream_id in self._directory.hosts_of(shard_ref):
                announcement = self._directory.upstreams_by_id[upstream_id]
                self._remember(announcement)
                if usable(announcement):
                    snapshots.update(announcement.snapshots)
        return frozenset(snapshots)

    def _remember(self, announcement: upstream.Announcement) -> frozenset[str]:
        self._snapshots_seen.update(announcement.snapshots)
        if len(self._snapshots_seen) > _SNAPSHOTS_REMEMBERED:
            newest = sorted(self._snapshots_seen)[-_SNAPSHOTS_REMEMBERED:]
            self._snapshots_seen = set(newest)
        for hosted in announcement.shards:
            counts = self._shard_counts_by_service.setdefault(hosted.service, {})
            counts[hosted.partitioning] = hosted.shard_count
            if len(counts) > _PARTITIONINGS_REMEMBERED:
                del counts[min(counts)]
        services = frozenset(hosted.service for hosted in announcement.shards)
        self._services_by_upstream[announcement.id] = services
        return services

    def _plan_service(
        self,
        service: str,
        snapshot: int,
        usable: Usable,
        excluded: frozenset[Version],
    ) -> ServicePlan | None:
        if any(
            (each.service, each.snapshot) == (service, snapshot) for each in excluded
        ):
            return self._best_partitioning(service, snapshot, usable, excluded)
        plans = self._plans_by_service.setdefault(service, {})
        if snapshot not in plans:
            plans[snapshot] = self._best_partitioning(
                service, snapshot, usable, frozenset()
            )
        return plans[snapshot]

    def _best_partitioning(
        self,
        service: str,
        snapshot: int,
        usable: Usable,
        excluded: frozenset[Version],
    ) -> ServicePlan | None:
        ids_by_shard = self._holders_of(service, snapshot, usable)
        counts = self._shard_counts_by_service.get(service, {})
        best: ServicePlan | None = None
        for partitioning in sorted(counts, reverse=True):
            if Version(service, snapshot, partitioning) in excluded:
                continue
            plan = _build(service, partitioning, counts[partitioning], ids_by_shard)
            if best is None or _coverage([plan]) > _coverage([best]):
                best = plan
        return best

    def holders(
        self, target: ShardTarget, snapshot: int, *, usable: Usable
    ) -> tuple[str, ...]:
        """Return the upstreams that can answer a pinned shard by now.

        :param target: the shard as it was pinned.
        :param snapshot: the snapshot that the query is pinned to.
        :param usable: as in :meth:`pin`.
        """
        ids_by_shard = self._holders_of(target.ref.service, snapshot, usable)
        return ids_by_shard.get((target.partitioning, target.ref.shard), ())

    def _holders_of(self, service: str, snapshot: int, usable: Usable) -> Holders:
        holders = self._holders_by_service.setdefault(service, {})
        if snapshot not in holders:
            holders[snapshot] = self._find_holders(service, snapshot, usable)
        return holders[snapshot]

    def _find_holders(self, service: str, snapshot: int, usable: Usable) -> Holders:
        ids_by_shard: dict[tuple[int, int], list[str]] = {}
        for shard_ref in self._directory.shards_of(service):
            for upstream_id in sorted(self._directory.hosts_of(shard_ref)):
                announcement = self._directory.upstreams_by_id[upstream_id]
                if snapshot not in announcement.snapshots or not usable(announcement):
                    continue
                for hosted in announcement.shards:
                    if hosted.ref == shard_ref:
                        place = (hosted.partitioning, hosted.shard)
                        ids_by_shard.setdefault(place, []).append(upstream_id)
        return {place: tuple(ids) for place, ids in ids_by_shard.items()}


def _build(
    service: str,
    partitioning: int,
    shard_count: int,
    ids_by_shard: Holders,
) -> ServicePlan:
    targets = tuple(
        ShardTarget(
            ref=upstream.ShardRef(service, shard),
            partitioning=partitioning,
            upstream_ids=ids_by_shard.get((partitioning, shard), ()),
        )
        for shard in range(shard_count)
    )
    return ServicePlan(service=service, partitioning=partitioning, targets=targets)


def _coverage(plans: list[ServicePlan]) -> float:
    total = sum(len(plan.targets) for plan in plans)
    return sum(plan.covered for plan in plans) / total if total else 0.0
