"""Anti-entropy: two hosts find out where they differ and make it up.

Digests of buckets name the differing buckets, versions name the differing
records, and only those travel, in messages of bounded size.
"""

import dataclasses
from collections import abc

from greengagehaven.coordination.membership import digests, knowledge
from greengagehaven.protocol import membership

MAX_SUMMARIES = 1000
MAX_RECORDS = 250


@dataclasses.dataclass(kw_only=True, slots=True)
class Sync:
    """What is left to exchange with one peer about one zone.

    :param peer: the other host.
    :param asked_at: when the comparison began, in monotonic seconds.
    :param age_ms: how old the peer's knowledge of the zone was then.
    :param is_whole: whether this covers every difference.
    :param is_bulk: whether too much is received to pass it on as rumors.
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
    def is_over(self) -> bool:
        """Tell whether nothing is left to exchange."""
        return not (
            self.wanted_hosts
            or self.wanted_upstreams
            or self.offered_hosts
            or self.offered_upstreams
        )

    @property
    def difference(self) -> int:
        """Return how many records are left to receive."""
        return len(self.wanted_hosts) + len(self.wanted_upstreams)


def request(known: knowledge.Knowledge, zone: str) -> membership.SyncRequest:
    """Return the question where a peer differs about a zone."""
    return membership.SyncRequest(
        zone=zone, buckets=known.digests.buckets_of_zone(zone)
    )


def answer(
    known: knowledge.Knowledge, asked: membership.SyncRequest, now: float
) -> membership.SyncReply:
    """Return the versions held here in the buckets that differ."""
    differing = _differing(known, asked)
    hosts, upstreams = _summaries(known, asked.zone, differing)
    covered: list[int] = []
    total = 0
    for bucket in differing:
        total += len(hosts.get(bucket, ())) + len(upstreams.get(bucket, ()))
        if covered and total > MAX_SUMMARIES:
            break
        covered.append(bucket)
    return membership.SyncReply(
        zone=asked.zone,
        age_ms=known.mark_age_ms(asked.zone, now),
        is_whole=len(covered) == len(differing),
        buckets=tuple(covered),
        hosts=tuple(item for bucket in covered for item in hosts.get(bucket, ())),
        upstreams=tuple(
            item for bucket in covered for item in upstreams.get(bucket, ())
        ),
    )


def compare(
    known: knowledge.Knowledge, sync: Sync, reply: membership.SyncReply, asked_at: float
) -> None:
    """Work out what to ask for and what to offer.

    :param asked_at: when the question was sent, in monotonic seconds.
    """
    sync.asked_at = asked_at
    sync.age_ms = reply.age_ms
    sync.is_whole = reply.is_whole
    own_hosts, own_upstreams = _summaries(known, reply.zone, reply.buckets)
    _compare_hosts(known, sync, reply.hosts, _flatten(own_hosts))
    _compare_upstreams(known, sync, reply, _flatten(own_upstreams))


def next_exchange(
    known: knowledge.Knowledge, sync: Sync
) -> dict[str, tuple[abc.Hashable, ...]]:
    """Return the fields of the next exchange and take them off the list."""
    offered_hosts = _take(sync.offered_hosts)
    offered_upstreams = _take(sync.offered_upstreams)
    hosts = (known.hosts.get(host_id) for host_id in offered_hosts)
    upstreams = (known.upstreams.get(each) for each in offered_upstreams)
    return {
        "wanted_hosts": tuple(_take(sync.wanted_hosts)),
        "wanted_upstreams": tuple(_take(sync.wanted_upstreams)),
        "hosts": tuple(record for record in hosts if record is not None),
        "upstreams": tuple(record for record in upstreams if record is not None),
    }


def _take(ids: list[str]) -> list[str]:
    taken = ids[:MAX_RECORDS]
    del ids[:MAX_RECORDS]
    return taken


def _differing(known: knowledge.Knowledge, asked: membership.SyncRequest) -> list[int]:
    own = known.digests.buckets_of_zone(asked.zone)
    pairs = zip(own, asked.buckets, strict=False)
    return [bucket for bucket, (here, there) in enumerate(pairs) if here != there]


def _summaries(
    known: knowledge.Knowledge, zone: str, buckets: abc.Iterable[int]
) -> tuple[
    dict[int, list[membership.HostSummary]],
    dict[int, list[membership.UpstreamSummary]],
]:
    wanted = frozenset(buckets)
    hosts: dict[int, list[membership.HostSummary]] = {}
    upstreams: dict[int, list[membership.UpstreamSummary]] = {}
    for host in known.hosts.records_by_id.values():
        bucket = digests.bucket_of(host.id)
        if host.zone == zone and bucket in wanted:
            summary = membership.HostSummary(
                id=host.id, incarnation=host.incarnation, status=host.status
            )
            hosts.setdefault(bucket, []).append(summary)
    for upstream_id in known.upstreams.ids_of(zone):
        bucket = digests.bucket_of(upstream_id)
        if bucket not in wanted:
            continue
        record = known.upstreams.records_by_id[upstream_id]
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
    known: knowledge.Knowledge,
    sync: Sync,
    theirs: tuple[membership.HostSummary, ...],
    own: list[membership.HostSummary],
) -> None:
    their_version_by_id = {
        summary.id: (summary.incarnation, summary.status) for summary in theirs
    }
    for host_id, version in their_version_by_id.items():
        record = known.hosts.get(host_id)
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
    known: knowledge.Knowledge,
    sync: Sync,
    reply: membership.SyncReply,
    own: list[membership.UpstreamSummary],
) -> None:
    their_version_by_id = {
        summary.id: (summary.incarnation, summary.sequence, summary.is_gone)
        for summary in reply.upstreams
    }
    for upstream_id, version in their_version_by_id.items():
        record = known.upstreams.get(upstream_id)
        if record is None or (*version, reply.zone) > record.version:
            sync.wanted_upstreams.append(upstream_id)
    for summary in own:
        version = their_version_by_id.get(summary.id)
        if version is None and summary.is_gone:
            continue
        own_version = (summary.incarnation, summary.sequence, summary.is_gone)
        if version is None or own_version > version:
            sync.offered_upstreams.append(summary.id)
