"""Query planning: selection of the snapshot and partitionings of a query.

A query reads one snapshot of the whole data set and one partitioning of each
service; its plan pins both. The planner takes the newest snapshot that live
upstreams cover in full or, if there is none, the one with the best coverage.
The number of shards comes from the pinned partitioning, so that a shard
without a replica is reported as missing instead of being left out.
"""

import dataclasses
import typing
from collections import abc

from greengagehaven.protocol import upstream
from greengagehaven.state import directory

Usable = typing.Callable[[upstream.Announcement], bool]
ReplicaIdsByShard = dict[tuple[int, int], tuple[str, ...]]

_MAX_SNAPSHOTS = 16
_MAX_PARTITIONINGS_PER_SERVICE = 8
_MAX_CACHED_PLANS = 256


class Version(typing.NamedTuple):
    """A snapshot and partitioning of one service."""

    service: str
    snapshot: int
    partitioning: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardTarget:
    """One shard of a plan and the upstreams that could answer it at planning."""

    ref: upstream.ShardRef
    partitioning: int
    upstream_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServicePlan:
    """All shards of one service under one partitioning."""

    service: str
    partitioning: int
    targets: tuple[ShardTarget, ...]

    @property
    def covered_count(self) -> int:
        """Return the number of shards with at least one upstream."""
        return sum(1 for target in self.targets if target.upstream_ids)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """The snapshot and the shards that one query reads."""

    snapshot: int
    targets: tuple[ShardTarget, ...]

    @property
    def uncovered(self) -> tuple[ShardTarget, ...]:
        """Return the shards without a usable upstream."""
        return tuple(target for target in self.targets if not target.upstream_ids)


class Planner:
    """Makes and caches query plans from the directory of live upstreams.

    A service keeps its last known shard counts after its last upstream is gone.
    Otherwise its shards would drop out of the total, and a partial result would
    be reported as complete.

    :param directory: the live upstreams.
    """

    def __init__(self, *, directory: directory.DirectoryView) -> None:
        self._directory = directory
        self._shard_counts_by_service: dict[str, dict[int, int]] = {}
        self._known_snapshots: set[int] = set()
        self._services_by_upstream: dict[str, frozenset[str]] = {}
        self._plans_by_service: dict[str, dict[int, ServicePlan | None]] = {}
        self._replica_ids_by_service: dict[str, dict[int, ReplicaIdsByShard]] = {}
        self._snapshots_by_service: dict[str, frozenset[int]] = {}
        self._pinned_plans_by_services: dict[tuple[str, ...], Plan | None] = {}

    def invalidate(self, upstream_ids: abc.Iterable[str] | None = None) -> None:
        """Drop cached plans after upstreams or their usability changed.

        :param upstream_ids: the upstreams that changed, ``None`` for all.
        """
        self._pinned_plans_by_services.clear()
        if upstream_ids is None:
            self._plans_by_service.clear()
            self._replica_ids_by_service.clear()
            self._snapshots_by_service.clear()
            return
        for upstream_id in upstream_ids:
            services = self._services_by_upstream.pop(upstream_id, frozenset())
            announcement = self._directory.upstreams_by_id.get(upstream_id)
            if announcement is not None:
                services |= self._record_announcement(announcement)
            for service in services:
                self._plans_by_service.pop(service, None)
                self._replica_ids_by_service.pop(service, None)
                self._snapshots_by_service.pop(service, None)

    def pin(
        self,
        services: tuple[str, ...],
        *,
        usable: Usable,
        excluded_versions: frozenset[Version] = frozenset(),
    ) -> Plan | None:
        """Return the plan for a query over ``services``.

        :param services: names of services, without duplicates.
        :param usable: returns whether an upstream may receive new sub-requests;
            :meth:`invalidate` must be called whenever its result changes.
        :param excluded_versions: versions not to use.
        :return: ``None`` if no snapshot has a plan for every service, for
            instance because a service was never announced.
        """
        if excluded_versions:
            return self._pin(services, usable, excluded_versions)
        if services in self._pinned_plans_by_services:
            return self._pinned_plans_by_services[services]
        if len(self._pinned_plans_by_services) >= _MAX_CACHED_PLANS:
            self._pinned_plans_by_services.clear()
        pinned = self._pin(services, usable, excluded_versions)
        self._pinned_plans_by_services[services] = pinned
        return pinned

    def _pin(
        self,
        services: tuple[str, ...],
        usable: Usable,
        excluded_versions: frozenset[Version],
    ) -> Plan | None:
        best: tuple[float, int] | None = None
        best_plans: list[ServicePlan] = []
        for snapshot in sorted(self._snapshots_of(services, usable), reverse=True):
            plans = [
                self._plan_service(service, snapshot, usable, excluded_versions)
                for service in services
            ]
            if any(plan is None for plan in plans):
                continue
            service_plans = typing.cast(list[ServicePlan], plans)
            score = _coverage_ratio(service_plans)
            if best is None or score > best[0]:
                best = (score, snapshot)
                best_plans = service_plans
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
        if not snapshots and self._known_snapshots:
            snapshots.add(max(self._known_snapshots))
        return snapshots

    def _find_snapshots(self, service: str, usable: Usable) -> frozenset[int]:
        snapshots: set[int] = set()
        for shard_ref in self._directory.shards_of_service(service):
            for upstream_id in self._directory.upstream_ids_of_shard(shard_ref):
                announcement = self._directory.upstreams_by_id[upstream_id]
                self._record_announcement(announcement)
                if usable(announcement):
                    snapshots.update(announcement.snapshots)
        return frozenset(snapshots)

    def _record_announcement(
        self, announcement: upstream.Announcement
    ) -> frozenset[str]:
        self._known_snapshots.update(announcement.snapshots)
        if len(self._known_snapshots) > _MAX_SNAPSHOTS:
            newest = sorted(self._known_snapshots)[-_MAX_SNAPSHOTS:]
            self._known_snapshots = set(newest)
        for hosted in announcement.shards:
            counts = self._shard_counts_by_service.setdefault(hosted.service, {})
            counts[hosted.partitioning] = hosted.shard_count
            if len(counts) > _MAX_PARTITIONINGS_PER_SERVICE:
                del counts[min(counts)]
        services = frozenset(hosted.service for hosted in announcement.shards)
        self._services_by_upstream[announcement.id] = services
        return services

    def _plan_service(
        self,
        service: str,
        snapshot: int,
        usable: Usable,
        excluded_versions: frozenset[Version],
    ) -> ServicePlan | None:
        if any(
            (version.service, version.snapshot) == (service, snapshot)
            for version in excluded_versions
        ):
            return self._best_partitioning(service, snapshot, usable, excluded_versions)
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
        excluded_versions: frozenset[Version],
    ) -> ServicePlan | None:
        ids_by_shard = self._replica_ids_by_shard(service, snapshot, usable)
        counts = self._shard_counts_by_service.get(service, {})
        best: ServicePlan | None = None
        for partitioning in sorted(counts, reverse=True):
            if Version(service, snapshot, partitioning) in excluded_versions:
                continue
            plan = _build_service_plan(
                service, partitioning, counts[partitioning], ids_by_shard
            )
            if best is None or _coverage_ratio([plan]) > _coverage_ratio([best]):
                best = plan
        return best

    def replica_ids(
        self, target: ShardTarget, snapshot: int, *, usable: Usable
    ) -> tuple[str, ...]:
        """Return the upstreams that can currently answer a pinned shard.

        :param target: the shard in the plan of the query.
        :param snapshot: the snapshot that the plan pins.
        :param usable: as in :meth:`pin`.
        """
        ids_by_shard = self._replica_ids_by_shard(target.ref.service, snapshot, usable)
        return ids_by_shard.get((target.partitioning, target.ref.shard), ())

    def _replica_ids_by_shard(
        self, service: str, snapshot: int, usable: Usable
    ) -> ReplicaIdsByShard:
        ids_by_snapshot = self._replica_ids_by_service.setdefault(service, {})
        if snapshot not in ids_by_snapshot:
            ids_by_snapshot[snapshot] = self._find_replica_ids(
                service, snapshot, usable
            )
        return ids_by_snapshot[snapshot]

    def _find_replica_ids(
        self, service: str, snapshot: int, usable: Usable
    ) -> ReplicaIdsByShard:
        ids_by_shard: dict[tuple[int, int], list[str]] = {}
        for shard_ref in self._directory.shards_of_service(service):
            for upstream_id in sorted(self._directory.upstream_ids_of_shard(shard_ref)):
                announcement = self._directory.upstreams_by_id[upstream_id]
                if snapshot not in announcement.snapshots or not usable(announcement):
                    continue
                for hosted in announcement.shards:
                    if hosted.ref == shard_ref:
                        shard_key = (hosted.partitioning, hosted.shard)
                        ids_by_shard.setdefault(shard_key, []).append(upstream_id)
        return {shard_key: tuple(ids) for shard_key, ids in ids_by_shard.items()}


def _build_service_plan(
    service: str,
    partitioning: int,
    shard_count: int,
    ids_by_shard: ReplicaIdsByShard,
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


def _coverage_ratio(plans: list[ServicePlan]) -> float:
    total = sum(len(plan.targets) for plan in plans)
    return sum(plan.covered_count for plan in plans) / total if total else 0.0
