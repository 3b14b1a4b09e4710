"""Gossip messages between entry hosts about hosts and upstreams.

They are encoded as msgpack arrays, since field names would take half of their bytes.
"""

import enum
import sys

import msgspec
import msgspec.structs

from greengagehaven.protocol import upstream

EXCHANGE = "membership/exchange"
SYNC = "membership/sync"
RELAY = "membership/relay"

MAX_SEQUENCE = 2**63 - 1


class HostStatus(enum.IntEnum):
    """Liveness of a host; within one incarnation the higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class HostRecord(msgspec.Struct, frozen=True, array_like=True, kw_only=True, gc=False):
    """State of a host; the record with the highest ``version`` takes precedence."""

    id: str
    zone: str
    address: str
    incarnation: int
    status: HostStatus = HostStatus.ALIVE

    @property
    def version(self) -> tuple[int, int]:
        """Return (incarnation, status), which orders records of one host."""
        return (self.incarnation, self.status)

    @property
    def is_live(self) -> bool:
        """Return whether the host is alive or suspect."""
        return self.status <= HostStatus.SUSPECT

    def with_status(self, status: HostStatus) -> "HostRecord":
        """Return a copy of this record with another status."""
        return msgspec.structs.replace(self, status=status)

    def revived(self, incarnation: int) -> "HostRecord":
        """Return a copy of this record that is alive in another incarnation."""
        return msgspec.structs.replace(
            self, incarnation=incarnation, status=HostStatus.ALIVE
        )


class UpstreamRecord(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, gc=False
):
    """State of an upstream; it replaces records with a lower ``version``.

    :param incarnation: the announced incarnation, or a higher one if the upstream's
        clock went back between two starts.
    :param announced_incarnation: incarnation as announced by the upstream.
    :param zone: zone whose hosts keep the lease: the upstream's own zone, or
        another one while no host of its own zone is reachable.
    :param body: the other fields of the announcement, encoded by
        :func:`encode_body`;
        empty if ``is_gone``.
    :param is_gone: whether the upstream left or its lease expired.
    """

    id: str
    incarnation: int
    sequence: int
    announced_incarnation: int
    zone: str
    body: bytes = b""
    is_gone: bool = False

    @property
    def version(self) -> tuple[int, int, bool, str]:
        """Return the key that orders records of one upstream."""
        return (self.incarnation, self.sequence, self.is_gone, self.zone)


class Renewal(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Renewal of an unchanged upstream's lease, sent to its home host.

    The home host tracks the lease, see ``coordination.membership.homes``.

    :param base: sequence of the record from which the announcement has not changed.
    """

    id: str
    incarnation: int
    sequence: int
    base: int


class Notice(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Broadcast of a host's query core; (host, incarnation, number) is unique.

    :param payload: an encoded ``notices.NoticePayload``.
    """

    host_id: str
    incarnation: int
    number: int
    payload: bytes

    @property
    def key(self) -> tuple[str, int, int]:
        """Return the unique id of this notice."""
        return (self.host_id, self.incarnation, self.number)


class ZoneDigest(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Digest of the sender's records of a zone, and its age.

    :param age_ms: milliseconds since a host of that zone is known to have had
        identical records.
    """

    zone: str
    digest: int
    age_ms: int


class Exchange(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Gossip message: a probe, a push of updates or the reply to either.

    :param target_id: host that the message is meant for, empty if unknown.
    :param zone_digests: digests of zones as known to the sender.
    :param renewals: leases that the target should renew.
    :param is_relayed: whether the renewals have been forwarded once; they are not
        forwarded again.
    :param wanted_hosts: ids of hosts whose records the reply should contain.
    :param wanted_upstreams: ids of upstreams whose records the reply should contain.
    """

    sender: HostRecord
    target_id: str = ""
    hosts: tuple[HostRecord, ...] = ()
    upstreams: tuple[UpstreamRecord, ...] = ()
    zone_digests: tuple[ZoneDigest, ...] = ()
    notices: tuple[Notice, ...] = ()
    renewals: tuple[Renewal, ...] = ()
    is_relayed: bool = False
    wanted_hosts: tuple[str, ...] = ()
    wanted_upstreams: tuple[str, ...] = ()


class HostSummary(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Version of a host record, without its other fields."""

    id: str
    incarnation: int
    status: HostStatus


class UpstreamSummary(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Version of an upstream record, without its other fields."""

    id: str
    incarnation: int
    sequence: int
    is_gone: bool


class SyncRequest(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Anti-entropy request: digests of the buckets of a zone, to find differences."""

    zone: str
    buckets: tuple[int, ...]


class SyncReply(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Record versions of the replying host in buckets that differ.

    :param age_ms: as in :class:`ZoneDigest`.
    :param is_whole: whether ``buckets`` contains all buckets that differ.
    :param buckets: indexes of the buckets that ``hosts`` and ``upstreams`` cover.
    """

    zone: str
    age_ms: int
    is_whole: bool
    buckets: tuple[int, ...]
    hosts: tuple[HostSummary, ...]
    upstreams: tuple[UpstreamSummary, ...]


class RelayRequest(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Indirect probe: an exchange that another host forwards to ``address``."""

    address: str
    body: bytes
    timeout_ms: int


class _AnnouncementBody(msgspec.Struct, frozen=True, array_like=True):
    address: str
    zone: str
    state: upstream.UpstreamState
    slots: int
    max_connections: int
    snapshots: tuple[int, ...]
    shards: tuple[tuple[str, int, int, int], ...]


_ENCODER = msgspec.msgpack.Encoder()
_BODY_DECODER = msgspec.msgpack.Decoder(_AnnouncementBody)


def encode_body(announcement: upstream.Announcement) -> bytes:
    """Return an announcement encoded as msgpack, without id, version and load."""
    shards = tuple(
        (hosted.service, hosted.shard, hosted.shard_count, hosted.partitioning)
        for hosted in announcement.shards
    )
    return _ENCODER.encode(
        _AnnouncementBody(
            announcement.address,
            announcement.availability_zone,
            announcement.state,
            announcement.slots,
            announcement.max_connections,
            announcement.snapshots,
            shards,
        )
    )


def record_of(
    announcement: upstream.Announcement,
    *,
    incarnation: int | None = None,
    zone: str | None = None,
) -> UpstreamRecord:
    """Return the record of a live upstream, built from its announcement.

    :param incarnation: overrides the announced incarnation.
    :param zone: zone that keeps the lease, by default the upstream's own.
    """
    if incarnation is None:
        incarnation = announcement.incarnation
    return UpstreamRecord(
        id=announcement.id,
        incarnation=incarnation,
        sequence=announcement.sequence,
        announced_incarnation=announcement.incarnation,
        zone=zone or announcement.availability_zone,
        body=encode_body(announcement),
    )


def share_values(record: UpstreamRecord) -> UpstreamRecord:
    """Return an equal record that shares duplicate values, to save memory."""
    announced_incarnation = record.announced_incarnation
    if announced_incarnation == record.incarnation:
        announced_incarnation = record.incarnation
    return msgspec.structs.replace(
        record,
        announced_incarnation=announced_incarnation,
        zone=sys.intern(record.zone),
    )


def has_valid_body(record: UpstreamRecord) -> bool:
    """Return whether the body of a live upstream's record can be decoded."""
    try:
        _BODY_DECODER.decode(record.body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    return True


def decode_announcement(record: UpstreamRecord) -> upstream.Announcement:
    """Return the announcement decoded from the record of a live upstream.

    The load is not part of the record and gets its default value.

    :raises msgspec.DecodeError: the body is not a valid encoded announcement.
    """
    body = _BODY_DECODER.decode(record.body)
    shards = tuple(
        # Interned, so that all upstreams share one copy of a service's name.
        upstream.HostedShard(
            service=sys.intern(service),
            shard=shard,
            shard_count=shard_count,
            partitioning=partitioning,
        )
        for service, shard, shard_count, partitioning in body.shards
    )
    return upstream.Announcement(
        id=record.id,
        incarnation=record.incarnation,
        sequence=record.sequence,
        address=body.address,
        availability_zone=sys.intern(body.zone),
        state=body.state,
        slots=body.slots,
        max_connections=body.max_connections,
        snapshots=body.snapshots,
        shards=shards,
    )
