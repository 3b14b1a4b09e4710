"""Messages by which hosts watch the upstreams and the configuration.

A host long-polls control hosts for changes (:class:`WatchRequest`).
"""

import enum

import msgspec

from greengagehaven.protocol import codec, compression, control

GONE_SEQUENCE = 2**62
"""Sequence of an upstream that is gone, above every announced one."""

OUTLIER_LIFETIME_S = 3.0
"""Seconds for which hosts treat an upstream as an outlier after a report."""


class Stage(enum.StrEnum):
    """Lifecycle stage of an upstream as known to hosts.

    ``SILENT`` is not announced by upstreams: the control host that received the last
    announcement has received none for some time.
    """

    READY = "ready"
    DRAINING = "draining"
    SILENT = "silent"
    GONE = "gone"


class UpstreamEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State of one upstream; the entry with the highest ``order`` is the newest.

    :param incarnation: increases with each start of the upstream.
    :param sequence: increases with each announcement of an incarnation.
    :param slots: number of requests that the upstream runs concurrently.
    :param cold_left_ms: milliseconds until its cold start, in which it is slow, ends.
    :param holder: control host that received its last announcement.
    :param changed_sequence: sequence of the last announcement that changed anything;
        renewals do not affect it.
    :param version: version of its software, empty if not announced.
    """

    id: str
    incarnation: int
    sequence: int
    service: str
    address: str
    availability_zone: str
    stage: Stage
    slots: int
    cold_left_ms: int = 0
    holder: str = ""
    changed_sequence: int = 0
    version: str = ""

    @property
    def order(self) -> tuple[int, int, bool]:
        """Return the key that orders entries of one upstream by age."""
        return (self.incarnation, self.sequence, self.stage is Stage.SILENT)

    @property
    def is_live(self) -> bool:
        """Return whether the upstream is neither gone nor silent."""
        return self.stage in (Stage.READY, Stage.DRAINING)

    def has_same_state(self, other: "UpstreamEntry") -> bool:
        """Return whether the entries are equal in all fields that other hosts use."""
        return self._shared_fields() == other._shared_fields()

    def as_change(self) -> "UpstreamEntry":
        """Return a copy that is marked as changed by its own announcement."""
        return msgspec.structs.replace(self, changed_sequence=self.sequence)

    def as_renewal_of(self, known_entry: "UpstreamEntry") -> "UpstreamEntry":
        """Return a copy that is marked as an unchanged renewal of ``known_entry``."""
        return msgspec.structs.replace(
            self, changed_sequence=known_entry.changed_sequence
        )

    def with_holder(self, holder: str) -> "UpstreamEntry":
        """Return a copy with another control host as its holder."""
        return msgspec.structs.replace(self, holder=holder)

    def with_cold(self, left_ms: int) -> "UpstreamEntry":
        """Return a copy with another remaining cold-start time, in milliseconds."""
        return msgspec.structs.replace(self, cold_left_ms=left_ms)

    def as_silent(self) -> "UpstreamEntry":
        """Return a copy in the stage ``SILENT``."""
        return msgspec.structs.replace(self, stage=Stage.SILENT)

    def as_gone(self, incarnation: int | None = None) -> "UpstreamEntry":
        """Return a copy in the stage ``GONE``, final for its incarnation.

        :param incarnation: overrides the entry's incarnation.
        """
        return msgspec.structs.replace(
            self,
            incarnation=self.incarnation if incarnation is None else incarnation,
            stage=Stage.GONE,
            sequence=GONE_SEQUENCE,
            cold_left_ms=0,
        )

    def _shared_fields(self) -> tuple:
        return (
            self.incarnation,
            self.service,
            self.address,
            self.availability_zone,
            self.stage,
            self.slots,
            self.version,
            self.holder,
            self.cold_left_ms > 0,
        )


def build_gone_entry(upstream_id: str, incarnation: int) -> UpstreamEntry:
    """Return the ``GONE`` entry of an upstream of which only the id is known."""
    return UpstreamEntry(
        id=upstream_id,
        incarnation=incarnation,
        sequence=GONE_SEQUENCE,
        service="",
        address="",
        availability_zone="",
        stage=Stage.GONE,
        slots=1,
    )


class Crash(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An upstream that stopped listening while it ran a request.

    :param fingerprint: fingerprint of the request.
    """

    fingerprint: str
    service: str
    upstream_id: str
    incarnation: int


class OutlierKind(enum.StrEnum):
    """How an upstream performs worse than others."""

    SLOW = "slow"
    FAULTY = "faulty"


class Outlier(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An upstream that is slow, or that rejects or fails requests.

    Control hosts pass an outlier on only after several entry hosts reported it.
    """

    upstream_id: str
    incarnation: int
    kind: OutlierKind


class OutlierReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Outliers that one entry host has observed."""

    host_id: str
    outliers: tuple[Outlier, ...]


class HostEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An entry host and its peer address.

    :param availability_zone: empty if it is the zone of the receiver.
    """

    id: str
    address: str
    availability_zone: str = ""


class ControlHosts(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Answer of an entry host to one that hears from no control host.

    :param addresses: peer addresses of the control hosts that reach a majority and
        replied to it recently.
    :param revision: configuration revision that it holds.
    """

    addresses: tuple[str, ...]
    revision: int


class WatchRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Request the changes at a control host since the last reply.

    :param is_entry: whether the sender is an entry host that serves callers.
    :param feed: id of the control host's process run that ``held_version``,
        ``held_crashes`` and ``held_outliers`` refer to; each run starts its own counts.
    :param held_version: newest version of its upstream entries that the sender has
        merged.
    :param held_revision: newest configuration revision held; deltas start after it.
    :param whole: request the full configuration.
    :param wait_ms: milliseconds to wait for a change if there is none yet (long
        poll).
    :param held_crashes: newest ``crash_version`` that the sender has received.
    :param held_members: ``members_digest`` of the last reply.
    :param address: peer address of the sender, empty if other entry hosts cannot
        call it.
    :param held_hosts: ``hosts_digest`` of the last reply.
    :param digests_only: request digests only, since the sender receives changes from
        another control host.
    :param held_outliers: ``outlier_version`` of the last reply.
    :param confirms: request ``staleness_ms`` and ``held_ms``.
    """

    host_id: str
    availability_zone: str
    is_entry: bool
    feed: str = ""
    held_version: int = 0
    held_revision: int = 0
    whole: bool = False
    wait_ms: int = 0
    held_crashes: int = 0
    held_members: int = 0
    address: str = ""
    held_hosts: int = 0
    digests_only: bool = False
    held_outliers: int = 0
    confirms: bool = False


class WatchReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Changes at a control host.

    :param feed: id of the control host's process run.
    :param version: newest version of its upstream entries.
    :param entries: changed entries, if there are few.
    :param entry_host_count: number of entry hosts that sent a request recently.
    :param control_addresses: peer addresses of the members of the Raft group; empty
        if ``held_members`` matches.
    :param configuration: a ``FollowReply`` encoded by :func:`pack_configuration`;
        empty if there is no change.
    :param crashes: crashes reported after ``held_crashes``.
    :param crash_version: version of the newest crash known.
    :param packed_entries: changed entries encoded by :func:`pack_entries`, if there
        are many.
    :param members_digest: digest of the members' peer addresses.
    :param hosts: live entry hosts of the watcher's zone; empty if ``held_hosts``
        matches.
    :param hosts_digest: digest of the complete ``hosts`` and ``remote_hosts``, 0 if
        there are none or only digests were requested.
    :param availability_zone: zone of the control host.
    :param has_quorum: whether the control host's configuration was recently known to be
        the newest that a majority holds.
    :param revision: configuration revision of the control host.
    :param digest: digest of the upstreams known there, see ``state.roster``.
    :param remote_hosts: some live entry hosts of each other zone; empty if
        ``held_hosts`` matches.
    :param outliers: outliers found after ``held_outliers``.
    :param outlier_version: version of the newest outlier known.
    :param staleness_ms: upper bound of the milliseconds since a majority confirmed
        that ``revision`` was the newest; ``None`` if it was not requested, or not
        confirmed since the control host started.
    :param held_ms: lower bound of the milliseconds for which the control host held the
        request.
    """

    feed: str
    version: int
    entries: tuple[UpstreamEntry, ...] = ()
    entry_host_count: int = 0
    control_addresses: tuple[str, ...] = ()
    configuration: bytes = b""
    crashes: tuple[Crash, ...] = ()
    crash_version: int = 0
    packed_entries: bytes = b""
    members_digest: int = 0
    hosts: tuple[HostEntry, ...] = ()
    hosts_digest: int = 0
    availability_zone: str = ""
    has_quorum: bool = True
    revision: int = 0
    digest: int = 0
    remote_hosts: tuple[HostEntry, ...] = ()
    outliers: tuple[Outlier, ...] = ()
    outlier_version: int = 0
    staleness_ms: int | None = None
    held_ms: int = 0


def pack_entries(entries: tuple[UpstreamEntry, ...]) -> bytes:
    """Return many entries encoded and compressed for a watcher.

    A host that starts receives all entries from each control host: 278 entries take
    25 KB uncompressed and 7 KB compressed.
    """
    return compression.compress(codec.encode_msgpack(entries))


def unpack_entries(data: bytes) -> tuple[UpstreamEntry, ...]:
    """Return the entries that ``pack_entries`` encoded.

    :raises InvalidRequestError: the data is invalid.
    """
    return codec.decode_msgpack(
        compression.decompress(data, place="entries"),
        tuple[UpstreamEntry, ...],
        place="entries",
    )


def pack_configuration(reply: control.FollowReply) -> bytes:
    """Return configuration changes encoded and compressed for watchers.

    Each control host sends them to each watcher, and a document of 400 routes takes
    70 KB, most of it repeated names; zlib level 1 reduces it to a tenth in 0.5 ms.
    """
    return compression.compress(codec.encode_msgpack(reply))


def unpack_configuration(data: bytes) -> control.FollowReply:
    """Return the configuration changes that ``pack_configuration`` encoded.

    :raises InvalidRequestError: the data is invalid.
    """
    return codec.decode_msgpack(
        compression.decompress(data, place="configuration"),
        control.FollowReply,
        place="configuration",
    )
