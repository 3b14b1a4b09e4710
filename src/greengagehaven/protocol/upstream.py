"""Messages between the system and its upstreams.

The JSON forms are part of the published interface (docs/PROTOCOL.md). Frozen
``msgspec.Struct`` is the frozen data class that the codecs handle natively.
"""

import enum
import typing

import msgspec


class ShardRef(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Name of one shard: its service and its number within the service."""

    service: str
    shard: int


class UpstreamState(enum.StrEnum):
    """Life stage that an upstream announces."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class HostedShard(msgspec.Struct, frozen=True, kw_only=True):
    """A shard that an upstream holds under one partitioning."""

    service: str
    shard: int
    shard_count: int
    partitioning: int

    @property
    def ref(self) -> ShardRef:
        """Return the name of the shard."""
        return ShardRef(self.service, self.shard)


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream's own view of its load; it lags and may mislead."""

    in_flight: int = 0
    queued: int = 0


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """What an upstream says of itself, renewed before its lease ends.

    Announcements of one upstream are ordered by (incarnation, sequence).
    """

    id: str
    incarnation: int
    sequence: int
    address: str
    availability_zone: str
    state: UpstreamState
    slots: int
    max_connections: int
    snapshots: tuple[int, ...]
    shards: tuple[HostedShard, ...]
    load: LoadReport = LoadReport()

    @property
    def version(self) -> tuple[int, int]:
        """Return the pair that orders announcements of this upstream."""
        return (self.incarnation, self.sequence)


class Lease(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an announcement: how long it holds, when to renew it."""

    lease_ms: int
    renew_ms: int


class SubRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of one query on one shard at one upstream.

    ``attempt`` is unique within the request, over all its shards.
    ``deadline`` is monotonic seconds on the sender's clock; on the wire it
    travels as the time that is left. ``query`` is the caller's JSON, as it came.
    ``subscriber_id`` and ``standing`` decide the order in which an owner sends.
    ``over_share_slots``, where it is not 0, lets it run only while fewer of its
    kind run: its subscriber is over its share. Upstreams see none of them.
    """

    request_id: str
    attempt: int
    upstream_id: str
    incarnation: int
    address: str
    shard_ref: ShardRef
    snapshot: int
    partitioning: int
    deadline: float
    kind: str
    query: msgspec.Raw
    subscriber_id: str = ""
    standing: int = 0
    over_share_slots: int = 0

    @property
    def id(self) -> tuple[str, int]:
        """Return the pair that names this attempt."""
        return (self.request_id, self.attempt)


class FailureReason(enum.StrEnum):
    """Why a sub-request got no usable reply.

    ``RESET`` is said only where the connection to the upstream itself broke: it
    counts against the request. ``OWNER_LOST`` is the loss of the host between.
    """

    CONNECT = "connect"
    RESET = "reset"
    OWNER_LOST = "owner_lost"
    STALLED = "stalled"
    TIMEOUT = "timeout"
    MISMATCH = "mismatch"
    STATUS = "status"
    CANCELLED = "cancelled"
    OVERLOADED = "overloaded"
    WRONG_VERSION = "wrong_version"


class Replied(msgspec.Struct, frozen=True, kw_only=True):
    """A reply whose echo matched; ``rows`` are the upstream's, in order.

    The owner host adds ``took``, seconds from sending to the reply, and
    ``within_share`` and ``over_share``, the slots that subscribers within and
    over their share keep busy on average.
    """

    request_id: str
    attempt: int
    upstream_id: str
    rows: tuple[msgspec.Raw, ...]
    load: LoadReport | None = None
    took: float | None = None
    within_share: float | None = None
    over_share: float | None = None


class Failed(msgspec.Struct, frozen=True, kw_only=True):
    """A sub-request without a usable reply.

    ``not_run`` is true only where no byte left or the upstream said so.
    ``retry_after`` is in seconds, from the upstream's header.
    """

    request_id: str
    attempt: int
    upstream_id: str
    reason: FailureReason
    not_run: bool
    detail: str = ""
    retry_after: float | None = None


Outcome = Replied | Failed


def failure_of(
    sub_request: SubRequest,
    reason: FailureReason,
    *,
    not_run: bool = False,
    detail: str = "",
    retry_after: float | None = None,
) -> Failed:
    """Return the outcome of a sub-request that got no usable reply."""
    return Failed(
        request_id=sub_request.request_id,
        attempt=sub_request.attempt,
        upstream_id=sub_request.upstream_id,
        reason=reason,
        not_run=not_run,
        detail=detail,
        retry_after=retry_after,
    )


class ShardSearchBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /v1/shard/search``."""

    kind: str
    query: msgspec.Raw


class ShardSearchReply(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an upstream's 200 reply."""

    rows: tuple[msgspec.Raw, ...]


class UpstreamChannel(typing.Protocol):
    """The way to upstreams: direct connections or an owner host in between."""

    def dispatch(
        self,
        batch: typing.Sequence[SubRequest],
        on_outcome: typing.Callable[[Outcome], None],
    ) -> None:
        """Send every sub-request; report each outcome exactly once.

        :param batch: sub-requests, of any queries and upstreams.
        :param on_outcome: called on the loop, once for each sub-request.
        """

    def cancel(self, request_id: str, attempt: int) -> None:
        """Give up on a sub-request; its outcome is ``Failed`` (cancelled)."""

    def retire_connections(self, upstream_id: str) -> None:
        """Close idle connections of an upstream and reuse none in use."""
