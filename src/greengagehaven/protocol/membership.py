"""Messages between entry hosts about hosts and upstreams.

They travel as msgpack arrays: field names would be half of their bytes.
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
    """Life stage of a host; at one incarnation the higher one holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class HostRecord(msgspec.Struct, frozen=True, array_like=True, kw_only=True, gc=False):
    """What is known of a host, ordered by (incarnation, status)."""

    id: str
    zone: str
    address: str
    incarnation: int
    status: HostStatus = HostStatus.ALIVE

    @property
    def version(self) -> tuple[int, int]:
        """Return the pair that orders records of this host."""
        return (self.incarnation, self.status)

    @property
    def is_live(self) -> bool:
        """Tell whether the host is alive or merely suspected."""
        return self.status <= HostStatus.SUSPECT

    def with_status(self, status: HostStatus) -> "HostRecord":
        """Return this record with another status."""
        return msgspec.structs.replace(self, status=status)

    def revived(self, incarnation: int) -> "HostRecord":
        """Return this record as alive in another incarnation."""
        return msgspec.structs.replace(
            self, incarnation=incarnation, status=HostStatus.ALIVE
        )


class UpstreamRecord(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, gc=False
):
    """What is known of an upstream; it replaces records of lower ``version``.

    :param incarnation: the announced one, raised where the upstream's clock
        went back between two starts.
    :param announced_incarnation: as the upstream itself says it.
    :param zone: the zone whose hosts keep the lease; the upstream's own, or
        another while its own has no host that can be reached.
    :param body: the rest, packed by :func:`pack`; empty once it is gone.
    :param is_gone: whether it left or its lease ended.
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
        """Return the order among records of this upstream."""
        return (self.incarnation, self.sequence, self.is_gone, self.zone)


class Renewal(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """News that an upstream is alive and unchanged, for its home host.

    :param base: sequence of the record that it is unchanged against.
    """

    id: str
    incarnation: int
    sequence: int
    base: int


class Notice(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A message of the query path; (host, incarnation, number) is unique."""

    host_id: str
    incarnation: int
    number: int
    payload: bytes

    @property
    def key(self) -> tuple[str, int, int]:
        """Return what names this notice."""
        return (self.host_id, self.incarnation, self.number)


class ZoneMark(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Digest of what the sender knows of a zone, and how old that is.

    :param age_ms: milliseconds since a host of the zone itself held just this.
    """

    zone: str
    digest: int
    age_ms: int


class Exchange(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A probe, a push of news and their answer, all in one form.

    :param target_id: the host that it is meant for, empty where not known.
    :param renewals: leases for the target to renew.
    :param is_relayed: whether the renewals have been passed on once already.
    :param wanted_hosts: ids whose records the answer should carry.
    :param wanted_upstreams: ids whose records the answer should carry.
    """

    sender: HostRecord
    target_id: str = ""
    hosts: tuple[HostRecord, ...] = ()
    upstreams: tuple[UpstreamRecord, ...] = ()
    marks: tuple[ZoneMark, ...] = ()
    notices: tuple[Notice, ...] = ()
    renewals: tuple[Renewal, ...] = ()
    is_relayed: bool = False
    wanted_hosts: tuple[str, ...] = ()
    wanted_upstreams: tuple[str, ...] = ()


class HostSummary(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Version of a host record, without its content."""

    id: str
    incarnation: int
    status: HostStatus


class UpstreamSummary(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Version of an upstream record, without its content."""

    id: str
    incarnation: int
    sequence: int
    is_gone: bool


class SyncRequest(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Digests of each bucket of a zone, to find where two hosts differ."""

    zone: str
    buckets: tuple[int, ...]


class SyncReply(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Versions that the answering host holds in buckets that differ.

    :param age_ms: as in :class:`ZoneMark`.
    :param buckets: numbers of those buckets that ``hosts`` and ``upstreams``
        cover.
    :param is_whole: whether these are all buckets that differ.
    """

    zone: str
    age_ms: int
    is_whole: bool
    buckets: tuple[int, ...]
    hosts: tuple[HostSummary, ...]
    upstreams: tuple[UpstreamSummary, ...]


class RelayRequest(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """An exchange that another host passes on (an indirect probe)."""

    address: str
    body: bytes
    timeout_ms: int


class _Body(msgspec.Struct, frozen=True, array_like=True):
    address: str
    zone: str
    state: upstream.UpstreamState
    slots: int
    max_connections: int
    snapshots: tuple[int, ...]
    shards: tuple[tuple[str, int, int, int], ...]


_ENCODER = msgspec.msgpack.Encoder()
_BODY_DECODER = msgspec.msgpack.Decoder(_Body)


def pack(announcement: upstream.Announcement) -> bytes:
    """Return what an announcement says, without id, order and load."""
    shards = tuple(
        (hosted.service, hosted.shard, hosted.shard_count, hosted.partitioning)
        for hosted in announcement.shards
    )
    return _ENCODER.encode(
        _Body(
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
    """Return the live record of an announcement.

    :param incarnation: a raised one; by default as it is announced.
    :param zone: the zone that keeps the lease; by default the upstream's own.
    """
    if incarnation is None:
        incarnation = announcement.incarnation
    return UpstreamRecord(
        id=announcement.id,
        incarnation=incarnation,
        sequence=announcement.sequence,
        announced_incarnation=announcement.incarnation,
        zone=zone or announcement.availability_zone,
        body=pack(announcement),
    )


def compact(record: UpstreamRecord) -> UpstreamRecord:
    """Return the same record with values shared that a decoder made twice."""
    announced = record.announced_incarnation
    if announced == record.incarnation:
        announced = record.incarnation
    return msgspec.structs.replace(
        record, announced_incarnation=announced, zone=sys.intern(record.zone)
    )


def is_readable(record: UpstreamRecord) -> bool:
    """Tell whether a live record's body can be unpacked."""
    try:
        _BODY_DECODER.decode(record.body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    return True


def unpack(record: UpstreamRecord) -> upstream.Announcement:
    """Return the announcement that a live record holds.

    :raises msgspec.DecodeError: the body is damaged.
    """
    body = _BODY_DECODER.decode(record.body)
    shards = tuple(
        # Interned: a service's name would else be held once per upstream.
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
