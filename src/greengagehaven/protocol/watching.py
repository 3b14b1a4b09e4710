"""Messages by which hosts learn of upstreams and of the configuration."""

import enum

import msgspec

from greengagehaven.protocol import codec, control, packing

GONE_SEQUENCE = 2**62

OUTLIER_LIFETIME_S = 3.0
"""Seconds for which hosts expect of an upstream what they were told of it."""


class Stage(enum.StrEnum):
    """Life stage of an upstream as hosts hand it on.

    ``SILENT`` is no stage that an upstream announces: the host that heard it
    last has heard nothing for some time.
    """

    READY = "ready"
    DRAINING = "draining"
    SILENT = "silent"
    GONE = "gone"


class UpstreamEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What is known of one upstream, ordered by ``order``.

    :param incarnation: of this start; a later start has a greater one.
    :param sequence: of the announcement within the incarnation.
    :param slots: requests that it runs at a time.
    :param cold_left_ms: how much longer it is slow after its start.
    :param holder: control host that heard it last.
    :param changed_sequence: sequence of the announcement that last told anything new;
        renewals leave it.
    :param version: of its software, empty where it does not say.
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
        """Return what decides which of two entries of one id is newer."""
        return (self.incarnation, self.sequence, self.stage is Stage.SILENT)

    @property
    def is_live(self) -> bool:
        """Tell whether it is neither gone nor silent."""
        return self.stage in (Stage.READY, Stage.DRAINING)

    def says_same(self, other: "UpstreamEntry") -> bool:
        """Tell whether two announcements differ in nothing that others need."""
        return self._facts() == other._facts()

    def as_news(self) -> "UpstreamEntry":
        """Return the entry as one that tells something new."""
        return msgspec.structs.replace(self, changed_sequence=self.sequence)

    def as_renewal_of(self, known: "UpstreamEntry") -> "UpstreamEntry":
        """Return the entry as one that tells nothing beyond ``known``."""
        return msgspec.structs.replace(self, changed_sequence=known.changed_sequence)

    def with_holder(self, holder: str) -> "UpstreamEntry":
        """Return the entry as heard by another control host."""
        return msgspec.structs.replace(self, holder=holder)

    def with_cold(self, left_ms: int) -> "UpstreamEntry":
        """Return the entry with what is left of its cold start."""
        return msgspec.structs.replace(self, cold_left_ms=left_ms)

    def as_silent(self) -> "UpstreamEntry":
        """Return the entry of an upstream that announces nothing any more."""
        return msgspec.structs.replace(self, stage=Stage.SILENT)

    def as_gone(self, incarnation: int | None = None) -> "UpstreamEntry":
        """Return the entry that no announcement of this incarnation undoes."""
        return msgspec.structs.replace(
            self,
            incarnation=self.incarnation if incarnation is None else incarnation,
            stage=Stage.GONE,
            sequence=GONE_SEQUENCE,
            cold_left_ms=0,
        )

    def _facts(self) -> tuple:
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


def unknown_gone(upstream_id: str, incarnation: int) -> UpstreamEntry:
    """Return the entry of an upstream that left and of which no more is known."""
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

    :param fingerprint: of the request.
    """

    fingerprint: str
    service: str
    upstream_id: str
    incarnation: int


class OutlierKind(enum.StrEnum):
    """What is wrong with an upstream that answers worse than others."""

    SLOW = "slow"
    FAULTY = "faulty"


class Outlier(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An upstream that several entry hosts found slow, or that rejects or fails."""

    upstream_id: str
    incarnation: int
    kind: OutlierKind


class OutlierReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one entry host saw in a moment."""

    host_id: str
    outliers: tuple[Outlier, ...]


class HostEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An entry host, and where others call it.

    :param availability_zone: empty for that of the host that is told.
    """

    id: str
    address: str
    availability_zone: str = ""


class WatchRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Ask a control host for what changed.

    :param is_entry: whether the asking host takes callers' requests.
    :param feed: name of the run of the control host that ``held_version``
        counts in; another run starts counting anew.
    :param held_version: the newest version of its roster that is merged here.
    :param held_revision: the newest configuration held; deltas follow it.
    :param whole: ask for the whole configuration.
    :param wait_ms: how long to wait for news where there is none.
    :param held_crashes: the newest crash of the feed that was taken here.
    :param held_members: ``members`` of the last reply.
    :param address: where other entry hosts call the asking one, empty for nowhere.
    :param held_hosts: ``hosts_digest`` of the last reply.
    :param held_outliers: ``outlier_version`` of the last reply.
    :param compares: ask only for digests, since another control host tells the
        asking one its news.
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
    compares: bool = False
    held_outliers: int = 0


class WatchReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What changed at a control host.

    :param entry_hosts: entry hosts that this control host heard of lately.
    :param control_addresses: peer addresses of the members of the log, none where
        the watcher has them.
    :param members: a digest of these addresses.
    :param entries: what changed, where it is little.
    :param packed_entries: what changed, packed, where it is much.
    :param configuration: a ``FollowReply`` as packed here, empty for no news.
    :param crashes: what entry hosts reported after ``held_crashes``.
    :param crash_version: of the newest crash known there.
    :param hosts: entry hosts of the watcher's zone that this control host heard of
        lately, none where the watcher has them.
    :param hosts_digest: of these, 0 where nothing is said of them.
    :param availability_zone: of the control host.
    :param in_touch: whether the control host lately knew the newest revision of a
        majority.
    :param revision: of the configuration there.
    :param digest: of the upstreams known there, see ``state.roster``.
    :param outliers: what was found after ``held_outliers``.
    :param remote_hosts: some entry hosts of each other zone; ``hosts_digest`` is of
        both.
    """

    feed: str
    version: int
    entries: tuple[UpstreamEntry, ...] = ()
    entry_hosts: int = 0
    control_addresses: tuple[str, ...] = ()
    configuration: bytes = b""
    crashes: tuple[Crash, ...] = ()
    crash_version: int = 0
    packed_entries: bytes = b""
    members: int = 0
    hosts: tuple[HostEntry, ...] = ()
    hosts_digest: int = 0
    availability_zone: str = ""
    in_touch: bool = True
    revision: int = 0
    digest: int = 0
    remote_hosts: tuple[HostEntry, ...] = ()
    outliers: tuple[Outlier, ...] = ()
    outlier_version: int = 0


def pack_entries(entries: tuple[UpstreamEntry, ...]) -> bytes:
    """Return entries as they go to watchers where there are many.

    A host that starts gets all of them from each control host; 278 entries take
    25 KB plain and 7 KB so.
    """
    return packing.pack(codec.encode_msgpack(entries))


def unpack_entries(data: bytes) -> tuple[UpstreamEntry, ...]:
    """Return what ``pack_entries`` packed.

    :raises InvalidRequestError: the bytes are no entries.
    """
    return codec.decode_msgpack(
        packing.unpack(data, place="entries"),
        tuple[UpstreamEntry, ...],
        place="entries",
    )


def pack_configuration(reply: control.FollowReply) -> bytes:
    """Return news of the configuration as it goes to watchers.

    Each control host tells each watcher, and a document of 400 routes is 70 KB of
    which the same names make up most: level 1 takes 0.5 ms and leaves a tenth.
    """
    return packing.pack(codec.encode_msgpack(reply))


def unpack_configuration(data: bytes) -> control.FollowReply:
    """Return what ``pack_configuration`` packed.

    :raises InvalidRequestError: the bytes are no such news.
    """
    return codec.decode_msgpack(
        packing.unpack(data, place="configuration"),
        control.FollowReply,
        place="configuration",
    )
