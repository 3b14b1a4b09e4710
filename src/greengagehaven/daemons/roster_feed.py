"""A control host's side of watching: announcements in, news out to watchers."""

import asyncio
import contextlib
import dataclasses
import secrets
import zlib
from collections import abc

import msgspec

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import rendezvous
from greengagehaven.daemons import publisher, roster_file
from greengagehaven.protocol import codec, control, watching
from greengagehaven.state import crashes, outliers, roster

WATCH_METHOD = "roster/watch"
REPORT_METHOD = "roster/report-crash"
OUTLIERS_METHOD = "roster/report-outliers"
MAX_WAIT_S = 5.0
SWEEP_PERIOD_S = 0.5
WATCHER_LIFETIME_S = 4.0
CONTACT_S = 2.5
HAND_OVER_S = 0.6
FEED_ID_BYTES = 6
MAX_PLAIN_ENTRIES = 8

COMPARER_LIFETIME_S = 9.0
"""Seconds; a watcher that only compares digests asks every three to six."""

MAX_REMOTE_HOSTS = 2
"""Hosts of each other zone that an entry host is told of; one may be away."""

IN_TOUCH_S = 2.0
"""Seconds since this host knew the newest revision of a majority."""

BATCH_S = 0.15
"""Seconds that news of an upstream that comes or stays waits for more. Where all
start together, 118 of them within 1.2 s, each would wake every watcher of every
control host; what leaves waits for nothing."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Watcher:
    """A host that asks this one for news.

    :param held_version: what it held at its last call.
    :param compares: whether another control host tells it the news.
    """

    is_entry: bool
    compares: bool
    zone: str
    address: str
    held_version: int
    seen_at: float

    def is_live(self, now: float) -> bool:
        """Tell whether it asked lately enough to count."""
        lifetime = COMPARER_LIFETIME_S if self.compares else WATCHER_LIFETIME_S
        return now - self.seen_at < lifetime

    def is_helping(self, now: float) -> bool:
        """Tell whether it is an entry host that others may call."""
        return self.is_entry and bool(self.address) and self.is_live(now)

    def is_waited_for(self, version: int, now: float) -> bool:
        """Tell whether it is in contact and lacks a version that it is to be told."""
        is_in_contact = not self.compares and now - self.seen_at < CONTACT_S
        return is_in_contact and self.held_version < version


class RosterFeed:
    """Hands the roster and the configuration of a control host on.

    :param roster: the upstreams known here.
    :param configuration: answers what changed in the configuration.
    :param control_addresses: gives the peer addresses of the log's members.
    :param clock: source of time.
    :param zone: availability zone of this host.
    :param keeper: keeps the roster over a restart.
    """

    def __init__(
        self,
        *,
        roster: roster.Roster,
        configuration: publisher.Publisher,
        control_addresses: abc.Callable[[], tuple[str, ...]],
        clock: clocks.Clock,
        zone: str = "",
        keeper: roster_file.Keeper | None = None,
    ) -> None:
        self.roster = roster
        self._zone = zone
        self._configuration = configuration
        self._control_addresses = control_addresses
        self._clock = clock
        self._keeper = keeper or roster_file.NoKeeper()
        self._feed = secrets.token_hex(FEED_ID_BYTES)
        self._crashes = crashes.CrashLog()
        self._outliers = outliers.OutlierLog()
        self._watchers_by_host: dict[str, _Watcher] = {}
        self._packed: tuple[object, bytes] = (None, b"")
        self._news = asyncio.Event()
        self._told_version = roster.version
        self._telling: asyncio.TimerHandle | None = None
        self._held = asyncio.Event()
        self._sweeper: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to look for upstreams that fell silent."""
        self._sweeper = asyncio.ensure_future(self._sweep_forever())

    async def close(self) -> None:
        """Let every watcher go."""
        if self._telling is not None:
            self._telling.cancel()
        if self._sweeper is not None:
            self._sweeper.cancel()
            await asyncio.gather(self._sweeper, return_exceptions=True)
        self.notify()

    def notify(self) -> None:
        """Wake every watcher that waits, after the configuration moved on."""
        self._told_version = self.roster.version
        if self._telling is not None:
            self._telling.cancel()
            self._telling = None
        news, self._news = self._news, asyncio.Event()
        news.set()

    def announce(self, entry: watching.UpstreamEntry) -> None:
        """Take an announcement and tell the watchers where it is news."""
        if self.roster.announce(entry, self._clock.monotonic()):
            self.note_change(entry)

    def merge(self, entries: abc.Iterable[watching.UpstreamEntry]) -> None:
        """Take what another control host knows."""
        now = self._clock.monotonic()
        changed = [entry for entry in entries if self.roster.merge(entry, now)]
        if changed:
            self._tell(changed)

    def note_change(self, entry: watching.UpstreamEntry) -> None:
        """Log a change of an upstream and tell the watchers."""
        log.info(
            "upstream_changed",
            upstream=entry.id,
            service=entry.service,
            address=entry.address,
            zone=entry.availability_zone,
            stage=entry.stage,
            software=entry.version,
            incarnation=entry.incarnation,
            sequence=entry.sequence,
            cold_ms=entry.cold_left_ms,
            version=self.roster.version,
        )
        self._tell((entry,))

    def _tell(self, entries: abc.Iterable[watching.UpstreamEntry]) -> None:
        """Tell the watchers at once of what leaves, of the rest in batches."""
        if any(entry.stage is not watching.Stage.READY for entry in entries):
            self.notify()
        else:
            self._notify_soon()

    def _notify_soon(self) -> None:
        if self._telling is None:
            loop = asyncio.get_running_loop()
            self._telling = loop.call_later(BATCH_S, self.notify)

    def entry_hosts(self) -> tuple[str, ...]:
        """Return the names of the entry hosts that asked lately."""
        now = self._clock.monotonic()
        return tuple(
            host_id
            for host_id, watcher in self._watchers_by_host.items()
            if watcher.is_entry and watcher.is_live(now)
        )

    async def hand_over(self, version: int, *, least_controls: int) -> None:
        """Return once the watchers in contact hold a version of the roster.

        An upstream that was told that it may leave stops when it likes. A host
        that has not heard of it goes on sending to it.

        :param least_controls: other control hosts that have to hold it.
        :raises QuorumLostError: too few control hosts hold it in time.
        """
        end = self._clock.monotonic() + HAND_OVER_S
        while True:
            now = self._clock.monotonic()
            waiting = [
                host_id
                for host_id, watcher in self._watchers_by_host.items()
                if watcher.is_waited_for(version, now)
            ]
            if not waiting and self._controls_holding(version) >= least_controls:
                return
            if now >= end:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(end - now):
                    await self._held.wait()
        holding = self._controls_holding(version)
        log.warning(
            "hand_over_incomplete",
            version=version,
            waiting=",".join(waiting),
            controls=holding,
            least_controls=least_controls,
        )
        if holding < least_controls:
            raise exceptions.QuorumLostError(
                f"{holding} of {least_controls} other control hosts took it"
            )

    async def handle(self, body: bytes) -> bytes:
        """Answer a watcher, at once where there is news, else when it comes."""
        request = codec.decode_msgpack(body, watching.WatchRequest)
        is_known = request.feed == self._feed
        held = request.held_version if is_known else 0
        held_crashes = request.held_crashes if is_known else 0
        held_outliers = request.held_outliers if is_known else 0
        self._note_watcher(request, held)
        wait = min(request.wait_ms / 1000, MAX_WAIT_S)
        # Who counts in another run's versions has not heard of what this one knows.
        has_news = self._has_news(request, held, held_crashes, held_outliers)
        may_wait = is_known and not has_news
        if wait > 0 and may_wait and not request.compares:
            news = self._news
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await news.wait()
        reply = self._reply(request, held_crashes)
        if not request.compares:
            reply = self._with_news(reply, request, held, held_outliers)
        return codec.encode_msgpack(reply)

    def _reply(
        self, request: watching.WatchRequest, held_crashes: int
    ) -> watching.WatchReply:
        """Return what a watcher is told that only compares digests."""
        addresses = self._control_addresses()
        members = zlib.crc32(",".join(addresses).encode())
        return watching.WatchReply(
            feed=self._feed,
            version=self.roster.version,
            entry_hosts=self._count_entry_hosts(self._clock.monotonic()),
            control_addresses=() if members == request.held_members else addresses,
            members=members,
            crashes=self._crashes.since(held_crashes) if request.is_entry else (),
            crash_version=self._crashes.version,
            availability_zone=self._zone,
            in_touch=self._configuration.age < IN_TOUCH_S,
            revision=self._configuration.revision,
            digest=self.roster.digest,
        )

    def _with_news(
        self,
        reply: watching.WatchReply,
        request: watching.WatchRequest,
        held: int,
        held_outliers: int,
    ) -> watching.WatchReply:
        now = self._clock.monotonic()
        entries = self.roster.since(held, now)
        is_much = len(entries) > MAX_PLAIN_ENTRIES
        hosts = self._hosts_for(request, now)
        remote_hosts = self._remote_hosts_for(request, now)
        named = hosts + remote_hosts
        hosts_digest = zlib.crc32(codec.encode_msgpack(named)) if named else 0
        is_held = hosts_digest == request.held_hosts
        return msgspec.structs.replace(
            reply,
            entries=() if is_much else entries,
            packed_entries=watching.pack_entries(entries) if is_much else b"",
            configuration=self._configuration_for(request),
            hosts=() if is_held else hosts,
            remote_hosts=() if is_held else remote_hosts,
            hosts_digest=hosts_digest,
            outliers=self._outliers.since(
                held_outliers, now, own_only=not request.is_entry
            ),
            outlier_version=self._outliers.version,
        )

    async def handle_report(self, body: bytes) -> bytes:
        """Take a crash that an entry host saw, and tell the others."""
        crash = codec.decode_msgpack(body, watching.Crash)
        self._crashes.add(crash, self._clock.monotonic())
        log.info(
            "crash_reported",
            fingerprint=crash.fingerprint,
            service=crash.service,
            upstream=crash.upstream_id,
            version=self._crashes.version,
        )
        self.notify()
        return b""

    async def handle_outliers(self, body: bytes) -> bytes:
        """Take what an entry host found, and tell what several found."""
        report = codec.decode_msgpack(body, watching.OutlierReport)
        now = self._clock.monotonic()
        count = len(self.roster.held_by_id)
        for outlier in report.outliers:
            host_id = report.host_id
            if self._outliers.report(outlier, host_id, now, upstreams=count):
                log.info(
                    "outlier_found",
                    upstream=outlier.upstream_id,
                    kind=outlier.kind,
                    version=self._outliers.version,
                )
                self._notify_soon()
        return b""

    def hear_outliers(self, heard: abc.Iterable[watching.Outlier]) -> None:
        """Take what another control host tells, and hand it on."""
        now = self._clock.monotonic()
        for outlier in heard:
            self._outliers.hear(outlier, now)
        self._notify_soon()

    def _configuration_for(self, request: watching.WatchRequest) -> bytes:
        revision = self._configuration.revision
        if revision <= request.held_revision and not request.whole:
            return b""
        # Most watchers hold the same revision when the next one comes.
        key = (request.held_revision, request.whole, revision)
        if self._packed[0] != key:
            follow = control.FollowRequest(
                held_revision=request.held_revision, whole=request.whole
            )
            reply = self._configuration.answer(follow)
            self._packed = key, watching.pack_configuration(reply)
        return self._packed[1]

    def _has_news(
        self,
        request: watching.WatchRequest,
        held: int,
        held_crashes: int,
        held_outliers: int,
    ) -> bool:
        if self._told_version > held or request.whole:
            return True
        if request.is_entry and self._crashes.version > held_crashes:
            return True
        found = self._outliers
        outlier_version = found.version if request.is_entry else found.own_version
        if outlier_version > held_outliers:
            return True
        return self._configuration.revision > request.held_revision

    def _note_watcher(self, request: watching.WatchRequest, held: int) -> None:
        self._watchers_by_host[request.host_id] = _Watcher(
            is_entry=request.is_entry,
            compares=request.compares,
            zone=request.availability_zone,
            address=request.address,
            held_version=held,
            seen_at=self._clock.monotonic(),
        )
        held_event, self._held = self._held, asyncio.Event()
        held_event.set()

    def _controls_holding(self, version: int) -> int:
        return sum(
            not watcher.is_entry and watcher.held_version >= version
            for watcher in self._watchers_by_host.values()
        )

    def _count_entry_hosts(self, now: float) -> int:
        self._watchers_by_host = {
            host_id: watcher
            for host_id, watcher in self._watchers_by_host.items()
            if watcher.is_live(now)
        }
        return sum(watcher.is_entry for watcher in self._watchers_by_host.values())

    def _hosts_for(
        self, request: watching.WatchRequest, now: float
    ) -> tuple[watching.HostEntry, ...]:
        """Return the entry hosts of the zone of the one that asks."""
        if not request.address:
            return ()
        return tuple(
            watching.HostEntry(id=host_id, address=watcher.address)
            for host_id, watcher in sorted(self._watchers_by_host.items())
            if watcher.is_helping(now) and watcher.zone == request.availability_zone
        )

    def _remote_hosts_for(
        self, request: watching.WatchRequest, now: float
    ) -> tuple[watching.HostEntry, ...]:
        """Return some entry hosts of each other zone, the same ones each time."""
        if not request.address:
            return ()
        ids_by_zone: dict[str, list[str]] = {}
        for host_id, watcher in self._watchers_by_host.items():
            if watcher.is_helping(now) and watcher.zone != request.availability_zone:
                ids_by_zone.setdefault(watcher.zone, []).append(host_id)
        return tuple(
            watching.HostEntry(
                id=host_id,
                address=self._watchers_by_host[host_id].address,
                availability_zone=zone,
            )
            for zone, ids in rendezvous.rank_groups(
                request.host_id, ids_by_zone, MAX_REMOTE_HOSTS
            ).items()
            for host_id in ids
        )

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            for entry in self.roster.sweep(self._clock.monotonic()):
                self.note_change(entry)
            self._keeper.keep()
