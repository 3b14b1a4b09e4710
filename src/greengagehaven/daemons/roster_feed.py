"""Distributes upstream announcements and the configuration to watching hosts.

Watchers long-poll: a call returns as soon as there is an update. A host that gets its
updates from another control host only compares digests here.
"""

import asyncio
import contextlib
import dataclasses
import math
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
from greengagehaven.transport import background_tasks

WATCH_METHOD = "roster/watch"
CRASH_METHOD = "roster/report-crash"
OUTLIERS_METHOD = "roster/report-outliers"
MAX_LONG_POLL_S = 5.0
SILENCE_CHECK_PERIOD_S = 0.5
WATCHER_LIFETIME_S = 4.0
CONTACT_LIFETIME_S = 2.5
HANDOVER_TIMEOUT_S = 0.6
FEED_ID_BYTES = 6
MAX_UNPACKED_ENTRIES = 8

COMPARING_WATCHER_LIFETIME_S = 9.0
"""Seconds; a watcher that only compares digests calls every three to six seconds."""

MAX_HOSTS_PER_REMOTE_ZONE = 2
"""Hosts of each remote zone sent to an entry host; two, as one may be down."""

MAX_CONFIRMATION_AGE_S = 2.0
"""Maximum seconds since a majority confirmed the newest revision to this host."""

NOTIFY_BATCH_S = 0.15
"""Seconds for which updates of ready upstreams are batched. When all upstreams start
together (118 within 1.2 s), each update would otherwise wake every watcher of every
control host. Updates of upstreams that are not ready are sent at once."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Watcher:
    """A host that watches the roster of this one.

    :param held_version: roster version that it held at its last call.
    :param compares: whether it only compares digests here, as it gets its updates from
        another control host.
    """

    is_entry: bool
    compares: bool
    zone: str
    address: str
    held_version: int
    seen_at: float

    def is_live(self, now: float) -> bool:
        """Return whether its last call is recent enough for it to count as alive."""
        lifetime = COMPARING_WATCHER_LIFETIME_S if self.compares else WATCHER_LIFETIME_S
        return now - self.seen_at < lifetime

    def can_take_calls(self, now: float) -> bool:
        """Return whether it is a live entry host that other entry hosts may call."""
        return self.is_entry and bool(self.address) and self.is_live(now)

    def lacks_version(self, version: int, now: float) -> bool:
        """Return whether it is in contact, gets updates here and lacks the version."""
        is_in_contact = not self.compares and now - self.seen_at < CONTACT_LIFETIME_S
        return is_in_contact and self.held_version < version


class RosterFeed:
    """Distributes the roster and the configuration of a control host to watchers.

    :param roster: the upstreams known here.
    :param configuration: source of configuration updates.
    :param control_addresses: returns the peer addresses of the log's members.
    :param clock: source of time.
    :param zone: availability zone of this host.
    :param roster_saver: persists the roster across restarts.
    """

    def __init__(
        self,
        *,
        roster: roster.Roster,
        configuration: publisher.ConfigurationPublisher,
        control_addresses: abc.Callable[[], tuple[str, ...]],
        clock: clocks.Clock,
        zone: str = "",
        roster_saver: roster_file.RosterSaver | None = None,
    ) -> None:
        self.roster = roster
        self._zone = zone
        self._configuration = configuration
        self._control_addresses = control_addresses
        self._clock = clock
        self._roster_saver = roster_saver or roster_file.NullRosterSaver()
        self._feed_id = secrets.token_hex(FEED_ID_BYTES)
        self._crash_log = crashes.CrashLog()
        self._outlier_log = outliers.OutlierLog()
        self._watchers_by_host: dict[str, _Watcher] = {}
        self._packed_configuration: tuple[object, bytes] = (None, b"")
        self._update_event = asyncio.Event()
        self._notified_version = roster.version
        self._notify_timer: asyncio.TimerHandle | None = None
        self._watcher_called = asyncio.Event()
        self._silence_check_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the periodic check for upstreams that stopped announcing themselves."""
        self._silence_check_task = background_tasks.start(
            self._check_silence_forever, task="check_silence"
        )

    async def close(self) -> None:
        """Stop the background tasks and answer every waiting watcher."""
        if self._notify_timer is not None:
            self._notify_timer.cancel()
        if self._silence_check_task is not None:
            self._silence_check_task.cancel()
            await asyncio.gather(self._silence_check_task, return_exceptions=True)
        self.notify()

    def notify(self) -> None:
        """Wake every waiting watcher, after the configuration or roster changed."""
        self._notified_version = self.roster.version
        if self._notify_timer is not None:
            self._notify_timer.cancel()
            self._notify_timer = None
        update_event, self._update_event = self._update_event, asyncio.Event()
        update_event.set()

    def announce(self, entry: watching.UpstreamEntry) -> None:
        """Apply an announcement; notify the watchers if it changed the roster."""
        if self.roster.apply_announcement(entry, self._clock.monotonic()):
            self.publish_change(entry)

    def merge(self, entries: abc.Iterable[watching.UpstreamEntry]) -> None:
        """Merge the upstreams that another control host knows."""
        now = self._clock.monotonic()
        changed = [entry for entry in entries if self.roster.merge(entry, now)]
        if changed:
            self._notify_change(changed)

    def publish_change(self, entry: watching.UpstreamEntry) -> None:
        """Log a change of an upstream and notify the watchers."""
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
        self._notify_change((entry,))

    def _notify_change(self, entries: abc.Iterable[watching.UpstreamEntry]) -> None:
        """Notify watchers at once if an upstream is not ready, otherwise in batches."""
        if any(entry.stage is not watching.Stage.READY for entry in entries):
            self.notify()
        else:
            self._schedule_notify()

    def _schedule_notify(self) -> None:
        if self._notify_timer is None:
            loop = asyncio.get_running_loop()
            self._notify_timer = loop.call_later(NOTIFY_BATCH_S, self.notify)

    def entry_hosts(self) -> tuple[str, ...]:
        """Return the ids of the live entry hosts."""
        now = self._clock.monotonic()
        return tuple(
            host_id
            for host_id, watcher in self._watchers_by_host.items()
            if watcher.is_entry and watcher.is_live(now)
        )

    async def wait_until_held(self, version: int, *, min_control_hosts: int) -> None:
        """Wait until the watchers in contact hold a version of the roster.

        An upstream whose withdrawal was acknowledged may stop at any time, but a host
        without this version would keep sending requests to it.

        :param min_control_hosts: minimum number of other control hosts that hold it.
        :raises QuorumLostError: too few control hosts hold it in time.
        """
        deadline = self._clock.monotonic() + HANDOVER_TIMEOUT_S
        while True:
            now = self._clock.monotonic()
            waiting = [
                host_id
                for host_id, watcher in self._watchers_by_host.items()
                if watcher.lacks_version(version, now)
            ]
            if (
                not waiting
                and self._count_controls_holding(version) >= min_control_hosts
            ):
                return
            if now >= deadline:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(deadline - now):
                    await self._watcher_called.wait()
        holding = self._count_controls_holding(version)
        log.warning(
            "hand_over_incomplete",
            version=version,
            waiting=",".join(waiting),
            controls=holding,
            least_controls=min_control_hosts,
        )
        if holding < min_control_hosts:
            raise exceptions.QuorumLostError(
                f"{holding} of {min_control_hosts} other control hosts hold the change"
            )

    async def handle(self, body: bytes) -> bytes:
        """Answer a watcher when there is an update or its wait time is over."""
        arrived_at = self._clock.monotonic()
        request = codec.decode_msgpack(body, watching.WatchRequest)
        is_known = request.feed == self._feed_id
        held = request.held_version if is_known else 0
        held_crashes = request.held_crashes if is_known else 0
        held_outliers = request.held_outliers if is_known else 0
        self._record_watcher(request, held)
        wait = min(request.wait_ms / 1000, MAX_LONG_POLL_S)
        # Versions of another feed, such as from before a restart of this host, are not
        # comparable with the present ones: the watcher is answered at once.
        has_update = self._has_update(request, held, held_crashes, held_outliers)
        may_wait = is_known and not has_update
        if wait > 0 and may_wait and not request.digests_only:
            update_event = self._update_event
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await update_event.wait()
        reply = self._reply(request, held_crashes)
        if not request.digests_only:
            reply = self._with_updates(reply, request, held, held_outliers)
        if request.confirms:
            reply = self._with_confirmation(reply, arrived_at)
        return codec.encode_msgpack(reply)

    def _reply(
        self, request: watching.WatchRequest, held_crashes: int
    ) -> watching.WatchReply:
        """Return a reply without updates, for a watcher that only compares digests."""
        addresses = self._control_addresses()
        members = zlib.crc32(",".join(addresses).encode())
        return watching.WatchReply(
            feed=self._feed_id,
            version=self.roster.version,
            entry_host_count=self._count_entry_hosts(self._clock.monotonic()),
            control_addresses=() if members == request.held_members else addresses,
            members_digest=members,
            crashes=self._crash_log.crashes_since(held_crashes)
            if request.is_entry
            else (),
            crash_version=self._crash_log.version,
            availability_zone=self._zone,
            has_quorum=self._configuration.staleness < MAX_CONFIRMATION_AGE_S,
            revision=self._configuration.revision,
            digest=self.roster.digest,
        )

    def _with_updates(
        self,
        reply: watching.WatchReply,
        request: watching.WatchRequest,
        held: int,
        held_outliers: int,
    ) -> watching.WatchReply:
        now = self._clock.monotonic()
        entries = self.roster.entries_since(held, now)
        is_packed = len(entries) > MAX_UNPACKED_ENTRIES
        hosts = self._hosts_for(request, now)
        remote_hosts = self._remote_hosts_for(request, now)
        listed_hosts = hosts + remote_hosts
        hosts_digest = (
            zlib.crc32(codec.encode_msgpack(listed_hosts)) if listed_hosts else 0
        )
        is_unchanged = hosts_digest == request.held_hosts
        return msgspec.structs.replace(
            reply,
            entries=() if is_packed else entries,
            packed_entries=watching.pack_entries(entries) if is_packed else b"",
            configuration=self._configuration_for(request),
            hosts=() if is_unchanged else hosts,
            remote_hosts=() if is_unchanged else remote_hosts,
            hosts_digest=hosts_digest,
            outliers=self._outlier_log.outliers_since(
                held_outliers, now, local_only=not request.is_entry
            ),
            outlier_version=self._outlier_log.version,
        )

    def _with_confirmation(
        self, reply: watching.WatchReply, arrived_at: float
    ) -> watching.WatchReply:
        """Return a reply that says how old the confirmation of its revision is.

        It is computed without awaiting after the revision was read, as the revision
        could be replaced meanwhile. Both times are rounded to the safe side.
        """
        staleness = self._configuration.confirmed_staleness
        held = self._clock.monotonic() - arrived_at
        return msgspec.structs.replace(
            reply,
            staleness_ms=None if staleness == math.inf else math.ceil(staleness * 1000),
            held_ms=math.floor(held * 1000),
        )

    async def handle_crash(self, body: bytes) -> bytes:
        """Record a crash reported by an entry host and notify the watchers."""
        crash = codec.decode_msgpack(body, watching.Crash)
        self._crash_log.add(crash, self._clock.monotonic())
        log.info(
            "crash_reported",
            fingerprint=crash.fingerprint,
            service=crash.service,
            upstream=crash.upstream_id,
            version=self._crash_log.version,
        )
        self.notify()
        return b""

    async def handle_outliers(self, body: bytes) -> bytes:
        """Record outliers found by an entry host; publish those that several found."""
        report = codec.decode_msgpack(body, watching.OutlierReport)
        now = self._clock.monotonic()
        count = len(self.roster.items_by_id)
        for outlier in report.outliers:
            host_id = report.host_id
            if self._outlier_log.record_report(outlier, host_id, now, upstreams=count):
                log.info(
                    "outlier_found",
                    upstream=outlier.upstream_id,
                    kind=outlier.kind,
                    version=self._outlier_log.version,
                )
                self._schedule_notify()
        return b""

    def merge_outliers(self, reported: abc.Iterable[watching.Outlier]) -> None:
        """Merge outliers that another control host reports, and notify the watchers."""
        now = self._clock.monotonic()
        for outlier in reported:
            self._outlier_log.add_remote(outlier, now)
        self._schedule_notify()

    def _configuration_for(self, request: watching.WatchRequest) -> bytes:
        revision = self._configuration.revision
        if revision <= request.held_revision and not request.whole:
            return b""
        # Cached, as most watchers hold the same revision when the next one arrives.
        key = (request.held_revision, request.whole, revision)
        if self._packed_configuration[0] != key:
            follow = control.FollowRequest(
                held_revision=request.held_revision, whole=request.whole
            )
            reply = self._configuration.build_reply(follow)
            self._packed_configuration = key, watching.pack_configuration(reply)
        return self._packed_configuration[1]

    def _has_update(
        self,
        request: watching.WatchRequest,
        held: int,
        held_crashes: int,
        held_outliers: int,
    ) -> bool:
        if self._notified_version > held or request.whole:
            return True
        if request.is_entry and self._crash_log.version > held_crashes:
            return True
        outlier_log = self._outlier_log
        outlier_version = (
            outlier_log.version if request.is_entry else outlier_log.local_version
        )
        if outlier_version > held_outliers:
            return True
        return self._configuration.revision > request.held_revision

    def _record_watcher(self, request: watching.WatchRequest, held: int) -> None:
        self._watchers_by_host[request.host_id] = _Watcher(
            is_entry=request.is_entry,
            compares=request.digests_only,
            zone=request.availability_zone,
            address=request.address,
            held_version=held,
            seen_at=self._clock.monotonic(),
        )
        watcher_called, self._watcher_called = self._watcher_called, asyncio.Event()
        watcher_called.set()

    def _count_controls_holding(self, version: int) -> int:
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
        """Return the entry hosts in the zone of the watcher that asks."""
        if not request.address:
            return ()
        return tuple(
            watching.HostEntry(id=host_id, address=watcher.address)
            for host_id, watcher in sorted(self._watchers_by_host.items())
            if watcher.can_take_calls(now) and watcher.zone == request.availability_zone
        )

    def _remote_hosts_for(
        self, request: watching.WatchRequest, now: float
    ) -> tuple[watching.HostEntry, ...]:
        """Return a stable choice of entry hosts of each remote zone."""
        if not request.address:
            return ()
        ids_by_zone: dict[str, list[str]] = {}
        for host_id, watcher in self._watchers_by_host.items():
            if (
                watcher.can_take_calls(now)
                and watcher.zone != request.availability_zone
            ):
                ids_by_zone.setdefault(watcher.zone, []).append(host_id)
        return tuple(
            watching.HostEntry(
                id=host_id,
                address=self._watchers_by_host[host_id].address,
                availability_zone=zone,
            )
            for zone, ids in rendezvous.rank_groups(
                request.host_id, ids_by_zone, MAX_HOSTS_PER_REMOTE_ZONE
            ).items()
            for host_id in ids
        )

    async def _check_silence_forever(self) -> None:
        while True:
            await asyncio.sleep(SILENCE_CHECK_PERIOD_S)
            for entry in self.roster.mark_silent(self._clock.monotonic()):
                self.publish_change(entry)
            self._roster_saver.save()
