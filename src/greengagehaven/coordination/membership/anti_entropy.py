"""Anti-entropy: compare a zone with a peer and exchange the differing records.

Bucket digests identify the buckets that differ, and record versions identify
the differing records. Only those records are sent, in messages of bounded
size.
"""

import dataclasses
from collections import abc

from greengagehaven.coordination.membership import cluster_view, digests
from greengagehaven.protocol import membership

# Record versions per sync reply.
MAX_SUMMARIES = 1000
# Records or ids per field of an exchange.
MAX_RECORDS = 250


@dataclasses.dataclass(kw_only=True, slots=True)
class Sync:
    """State of the anti-entropy exchange with one peer about one zone.

    :param peer: the other host.
    :param asked_at: when the sync request was sent, in monotonic seconds.
    :param age_ms: age of the peer's view of the zone at that time, in
        milliseconds.
    :param is_whole: whether the reply covered every differing bucket.
    :param is_bulk: whether too many records are received to gossip them on.
    """

    zone: str
    peer: membership.HostRecord
    asked_at: float = 0.0
    age_ms: int = 0
    is_whole: bool = False
    is_bulk: bool = False
    wanted_hosts: list[str] = dataclasses.field(default_factory=list)
    wanted_upstreams: list[str] = dataclasses.field(default_factory=list)
    offered_hosts: list[str] = dataclasses.field(default_factory=list)
    offered_upstreams: list[str] = dataclasses.field(default_factory=list)

    @property
    def is_finished(self) -> bool:
        """Return whether no record is left to send or receive."""
        return not (
            self.wanted_hosts
            or self.wanted_upstreams
            or self.offered_hosts
            or self.offered_upstreams
        )

    @property
    def wanted_count(self) -> int:
        """Return the number of records left to receive."""
        return len(self.wanted_hosts) + len(self.wanted_upstreams)


def build_request(view: cluster_view.ClusterView, zone: str) -> membership.SyncRequest:
    """Return the request for the versions of a zone's differing buckets."""
    return membership.SyncRequest(
        zone=zone, buckets=view.zone_digests.buckets_of_zone(zone)
    )


def build_reply(
    view: cluster_view.ClusterView, sync_request: membership.SyncRequest, now: float
) -> membership.SyncReply:
    """Return the versions of the local records in the buckets that differ.

    Buckets are left out if the reply would exceed ``MAX_SUMMARIES`` versions, but
    the first differing bucket is always covered.
    """
    differing = _differing_buckets(view, sync_request)
    hosts, upstreams = _summaries(view, sync_request.zone, differing)
    covered: list[int] = []
    total = 0
    for bucket in differing:
        total += len(hosts.get(bucket, ())) + len(upstreams.get(bucket, ()))
        if covered and total > MAX_SUMMARIES:
            break
        covered.append(bucket)
    return membership.SyncReply(
        zone=sync_request.zone,
        age_ms=view.reported_age_ms(sync_request.zone, now),
        is_whole=len(covered) == len(differing),
        buckets=tuple(covered),
        hosts=tuple(item for bucket in covered for item in hosts.get(bucket, ())),
        upstreams=tuple(
            item for bucket in covered for item in upstreams.get(bucket, ())
        ),
    )


def plan_transfer(
    view: cluster_view.ClusterView,
    sync: Sync,
    reply: membership.SyncReply,
    asked_at: float,
) -> None:
    """Determine which records to request and which to offer.

    :param asked_at: when the sync request was sent, in monotonic seconds.
    """
    sync.asked_at = asked_at
    sync.age_ms = reply.age_ms
    sync.is_whole = reply.is_whole
    own_hosts, own_upstreams = _summaries(view, reply.zone, reply.buckets)
    _compare_hosts(view, sync, reply.hosts, _flatten(own_hosts))
    _compare_upstreams(view, sync, reply, _flatten(own_upstreams))


def next_batch(
    view: cluster_view.ClusterView, sync: Sync
) -> dict[str, tuple[abc.Hashable, ...]]:
    """Return the fields of the next exchange and remove its records from ``sync``.

    Each field holds at most ``MAX_RECORDS`` ids or records.
    """
    offered_hosts = _pop_batch(sync.offered_hosts)
    offered_upstreams = _pop_batch(sync.offered_upstreams)
    hosts = (view.hosts.get(host_id) for host_id in offered_hosts)
    upstreams = (view.upstreams.get(each) for each in offered_upstreams)
    return {
        "wanted_hosts": tuple(_pop_batch(sync.wanted_hosts)),
        "wanted_upstreams": tuple(_pop_batch(sync.wanted_upstreams)),
        "hosts": tuple(record for record in hosts if record is not None),
        "upstreams": tuple(record for record in upstreams if record is not None),
    }


def _pop_batch(ids: list[str]) -> list[str]:
    taken = ids[:MAX_RECORDS]
    del ids[:MAX_RECORDS]
    return taken


def _differing_buckets(
    view: cluster_view.ClusterView, sync_request: membership.SyncRequest
) -> list[int]:
    own = view.zone_digests.buckets_of_zone(sync_request.zone)
    pairs = zip(own, sync_request.buckets, strict=False)
    return [bucket for bucket, (here, there) in enumerate(pairs) if here != there]


def _summaries(
    view: cluster_view.ClusterView, zone: str, buckets: abc.Iterable[int]
) -> tuple[
    dict[int, list[membership.HostSummary]],
    dict[int, list[membership.UpstreamSummary]],
]:
    wanted = frozenset(buckets)
    hosts: dict[int, list[membership.HostSummary]] = {}
    upstreams: dict[int, list[membership.UpstreamSummary]] = {}
    for host in view.hosts.records_by_id.values():
        bucket = digests.bucket_of(host.id)
        if host.zone == zone and bucket in wanted:
            summary = membership.HostSummary(
                id=host.id, incarnation=host.incarnation, status=host.status
            )
            hosts.setdefault(bucket, []).append(summary)
    for upstream_id in view.upstreams.ids_with_tombstones(zone):
        bucket = digests.bucket_of(upstream_id)
        if bucket not in wanted:
            continue
        record = view.upstreams.records_by_id[upstream_id]
        summary = membership.UpstreamSummary(
            id=record.id,
            incarnation=record.incarnation,
            sequence=record.sequence,
            is_gone=record.is_gone,
        )
        upstreams.setdefault(bucket, []).append(summary)
    return hosts, upstreams


def _flatten(items_by_bucket: dict[int, list]) -> list:
    return [item for items in items_by_bucket.values() for item in items]


def _compare_hosts(
    view: cluster_view.ClusterView,
    sync: Sync,
    theirs: tuple[membership.HostSummary, ...],
    own: list[membership.HostSummary],
) -> None:
    their_version_by_id = {
        summary.id: (summary.incarnation, summary.status) for summary in theirs
    }
    for host_id, version in their_version_by_id.items():
        record = view.hosts.get(host_id)
        if record is None or version > record.version:
            sync.wanted_hosts.append(host_id)
    for summary in own:
        version = their_version_by_id.get(summary.id)
        is_live = summary.status <= membership.HostStatus.SUSPECT
        if version is None and not is_live:
            continue
        if version is None or (summary.incarnation, summary.status) > version:
            sync.offered_hosts.append(summary.id)


def _compare_upstreams(
    view: cluster_view.ClusterView,
    sync: Sync,
    reply: membership.SyncReply,
    own: list[membership.UpstreamSummary],
) -> None:
    their_version_by_id = {
        summary.id: (summary.incarnation, summary.sequence, summary.is_gone)
        for summary in reply.upstreams
    }
    for upstream_id, version in their_version_by_id.items():
        record = view.upstreams.get(upstream_id)
        if record is None or (*version, reply.zone) > record.version:
            sync.wanted_upstreams.append(upstream_id)
        elif record.is_gone and record.zone != reply.zone:
            # A host that restarted may keep a delayed announcement in its own zone.
            # Digests don't cover tombstones, so without this offer it would neither
            # receive the tombstone of the other zone nor notice that it lacks it.
            sync.offered_upstreams.append(upstream_id)
    for summary in own:
        version = their_version_by_id.get(summary.id)
        if version is None and summary.is_gone:
            continue
        own_version = (summary.incarnation, summary.sequence, summary.is_gone)
        if version is None or own_version > version:
            sync.offered_upstreams.append(summary.id)
