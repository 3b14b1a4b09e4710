"""A host's calls to control hosts for news of upstreams and configuration."""

import asyncio
import contextlib
import dataclasses
import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven import rng as rngs
from greengagehaven.coordination import peers, sources
from greengagehaven.daemons import roster_feed
from greengagehaven.protocol import codec, control, watching
from greengagehaven.state import configuration, published, roster

WAIT_S = 1.5
MARGIN_S = 0.7
FIRST_WAIT_S = 0.0
RETRY_PAUSE_S = 0.15
REPORT_TIMEOUT_S = 1.0
LOST_AFTER_S = 3.0
COUNT_LIFETIME_S = 15.0
MAX_REVISION = 2**62

CONFIRM_PERIOD_S = 1.0
"""Seconds until a digest that differed is compared again; the host that is followed
mostly tells the same news meanwhile."""

SETTLING_PERIOD_S = 0.25
OUTLIER_PERIOD_S = 0.1
COMPARE_RETRY_S = 1.0
JITTER = (0.75, 1.25)


class Sink(typing.Protocol):
    """What takes the news."""

    def take_entries(self, entries: tuple[watching.UpstreamEntry, ...]) -> None:
        """Merge entries of a control host's roster."""

    def take_state(self, state: configuration.ConfigurationState) -> None:
        """Put a newer configuration in force."""

    def take_entry_hosts(self, count: int) -> None:
        """Note how many entry hosts there are."""

    def take_crashes(self, crashes: tuple[watching.Crash, ...]) -> None:
        """Take crashes that other entry hosts saw."""

    def on_outliers(self, outliers: tuple[watching.Outlier, ...]) -> None:
        """Take upstreams that several entry hosts found slow or faulty."""

    def on_hosts(self, hosts: tuple[watching.HostEntry, ...]) -> None:
        """Take the entry hosts of this host's zone, and some of each other one."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Position:
    """What this host has of one control host's news."""

    feed: str = ""
    version: int = 0
    crash_version: int = 0
    outlier_version: int = 0
    members: int = 0
    hosts: int = 0
    comparison: sources.Comparison = dataclasses.field(
        default_factory=sources.Comparison
    )
    heard_at: float | None = None
    is_lost: bool = False


class Watcher:
    """Asks control hosts and holds what the newest of them knows.

    All of them are asked, since one that was cut off without a sign goes on
    answering with what it last knew; the configuration only moves forward. Those
    that are not followed tell digests, and their news only where these differ.

    :param channel: calls to other hosts.
    :param host_id: name of this host.
    :param availability_zone: of this host.
    :param is_entry: whether this host takes callers' requests.
    :param control_addresses: peer addresses of control hosts to begin with.
    :param own_address: this host's own peer address, which it does not ask.
    :param helps_at: address where other entry hosts call this one, empty for nowhere.
    :param follows: whether this host takes the configuration this way.
    :param followed_sources: chooses the control hosts to follow.
    :param sink: what takes the news.
    :param clock: source of time.
    :param rng: keeps hosts that start together out of step.
    """

    def __init__(
        self,
        *,
        channel: peers.PeerChannel,
        host_id: str,
        availability_zone: str,
        is_entry: bool,
        control_addresses: abc.Iterable[str],
        own_address: str = "",
        helps_at: str = "",
        follows: bool = True,
        followed_sources: sources.Sources,
        sink: Sink,
        clock: clocks.Clock,
        rng: rngs.Rng,
    ) -> None:
        self._channel = channel
        self._host_id = host_id
        self._availability_zone = availability_zone
        self._is_entry = is_entry
        self._own_address = own_address
        self._helps_at = helps_at
        self._hosts_by_control: dict[
            str, tuple[float, tuple[watching.HostEntry, ...]]
        ] = {}
        self._told_hosts: tuple[watching.HostEntry, ...] = ()
        self._follows = follows
        self._sources = followed_sources
        self._followed: frozenset[str] = frozenset()
        self._refollowed = asyncio.Event()
        self._sink = sink
        self._clock = clock
        self._rng = rng
        self._roster = roster.Roster(holder=host_id, silence=float("inf"))
        self._published = published.Published()
        self._needs_whole = False
        self._counts_by_address: dict[str, tuple[float, int]] = {}
        self._seeds = tuple(control_addresses)
        self._tasks_by_address: dict[str, asyncio.Task[None]] = {}
        self._is_closed = False
        self._reports: set[asyncio.Task[None]] = set()
        self._outliers: set[watching.Outlier] = set()

    def start(self) -> None:
        """Begin to ask."""
        self.set_seeds(self._seeds)

    def set_seeds(self, addresses: abc.Iterable[str]) -> None:
        """Ask these control hosts too."""
        self._seeds = tuple(addresses)
        for address in self._seeds:
            self._watch(address)

    async def close(self) -> None:
        """Stop asking."""
        self._is_closed = True
        tasks = [*self._tasks_by_address.values(), *self._reports]
        self._tasks_by_address.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def followed(self) -> frozenset[str]:
        """Return the addresses of the control hosts whose news this host takes."""
        return self._followed

    def report_crash(self, crash: watching.Crash) -> None:
        """Tell every control host of a crash, which tells the other hosts."""
        body = codec.encode_msgpack(crash)
        for address in self._tasks_by_address:
            self._spawn_report(address, roster_feed.REPORT_METHOD, body)

    def report_outlier(self, outlier: watching.Outlier) -> None:
        """Tell the control hosts that are followed, with others of that moment."""
        if not self._outliers:
            loop = asyncio.get_running_loop()
            loop.call_later(OUTLIER_PERIOD_S, self._report_outliers)
        self._outliers.add(outlier)

    def _report_outliers(self) -> None:
        found, self._outliers = self._outliers, set()
        if self._is_closed:
            return
        message = watching.OutlierReport(host_id=self._host_id, outliers=tuple(found))
        body = codec.encode_msgpack(message)
        for address in self._followed:
            self._spawn_report(address, roster_feed.OUTLIERS_METHOD, body)

    def _spawn_report(self, address: str, method: str, body: bytes) -> None:
        task = asyncio.ensure_future(self._report(address, method, body))
        self._reports.add(task)
        task.add_done_callback(self._reports.discard)

    async def _report(self, address: str, method: str, body: bytes) -> None:
        try:
            await self._channel.call(address, method, body, timeout=REPORT_TIMEOUT_S)
        except exceptions.PeerError as error:
            log.debug(
                "report_failed", address=address, method=method, error=error.detail
            )

    def _watch(self, address: str) -> None:
        is_known = address == self._own_address or address in self._tasks_by_address
        if is_known or self._is_closed:
            return
        task = asyncio.ensure_future(self._watch_forever(address))
        self._tasks_by_address[address] = task

    async def _watch_forever(self, address: str) -> None:
        position = _Position()
        wait = FIRST_WAIT_S
        while True:
            compares = self._compares(address, position)
            request = self._request(position, wait=wait, compares=compares)
            try:
                reply = await self._ask(address, request)
                self._take(address, reply)
            except (
                exceptions.PeerError,
                exceptions.InvalidRequestError,
                exceptions.StateMismatchError,
            ) as error:
                self._on_failure(address, position, error)
                wait = FIRST_WAIT_S
                is_spare = compares and self._sources.is_settled
                await asyncio.sleep(COMPARE_RETRY_S if is_spare else RETRY_PAUSE_S)
                continue
            self._on_reply(address, position, reply)
            if compares:
                self._compare(position, reply)
                wait = FIRST_WAIT_S
                await self._pause(address, position)
                continue
            self._take_hosts(address, reply.hosts + reply.remote_hosts)
            self._advance(position, reply)
            position.outlier_version = reply.outlier_version
            # The next call tells at once that this news is held; only then may
            # an upstream that wants to leave be told that it can.
            wait = WAIT_S

    def _request(
        self, position: _Position, *, wait: float, compares: bool
    ) -> watching.WatchRequest:
        return watching.WatchRequest(
            host_id=self._host_id,
            availability_zone=self._availability_zone,
            is_entry=self._is_entry,
            feed=position.feed,
            held_version=position.version,
            held_revision=self._published.revision if self._follows else MAX_REVISION,
            whole=self._needs_whole,
            wait_ms=0 if compares else round(wait * 1000),
            held_crashes=position.crash_version,
            held_members=position.members,
            address=self._helps_at,
            held_hosts=position.hosts,
            held_outliers=position.outlier_version,
            compares=compares,
        )

    def _compares(self, address: str, position: _Position) -> bool:
        """Tell whether the next call to a control host only compares digests."""
        if address in self._followed:
            return False
        return not (position.comparison.lacks_news and self._followed)

    def _compare(self, position: _Position, reply: watching.WatchReply) -> None:
        """Note whether a control host knows what this host does not."""
        lags = self._follows and reply.revision > self._published.revision
        if not lags and self._holds(reply):
            self._advance(position, reply)
            return
        position.crash_version = reply.crash_version
        position.members = reply.members
        position.comparison.on_difference(
            reply.digest, self._clock.monotonic(), is_certain=lags
        )

    def _holds(self, reply: watching.WatchReply) -> bool:
        """Tell whether this host knows the upstreams that a control host knows."""
        return reply.digest == self._roster.digest

    def _advance(self, position: _Position, reply: watching.WatchReply) -> None:
        """Note that the news up to a reply's version is held."""
        position.comparison.on_news(None if self._holds(reply) else reply.digest)
        position.feed, position.version = reply.feed, reply.version
        position.crash_version = reply.crash_version
        position.members = reply.members
        if reply.hosts or reply.remote_hosts:
            position.hosts = reply.hosts_digest

    async def _pause(self, address: str, position: _Position) -> None:
        """Wait for the next comparison, or until the control host is followed."""
        others = len(self._tasks_by_address) - len(self._followed)
        period = sources.compare_period(others)
        if not self._sources.is_settled:
            period = SETTLING_PERIOD_S
        elif position.comparison.is_open:
            period = CONFIRM_PERIOD_S
        refollowed = self._refollowed
        self._refollow()
        if address in self._followed:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(period * self._rng.uniform(*JITTER)):
                await refollowed.wait()

    def _on_reply(
        self, address: str, position: _Position, reply: watching.WatchReply
    ) -> None:
        if position.is_lost or position.heard_at is None:
            log.info("control_reached", address=address, feed=reply.feed)
        position.is_lost = False
        position.heard_at = self._clock.monotonic()
        self._sources.on_reply(
            address, zone=reply.availability_zone, in_touch=reply.in_touch
        )
        self._refollow()

    def _on_failure(
        self,
        address: str,
        position: _Position,
        error: exceptions.GreengagehavenError,
    ) -> None:
        now, heard_at = self._clock.monotonic(), position.heard_at
        is_long = heard_at is None or now - heard_at > LOST_AFTER_S
        if is_long and not position.is_lost:
            position.is_lost = True
            log.warning("control_lost", address=address, error=error.detail)
        self._sources.on_failure(address)
        self._refollow()

    def _refollow(self) -> None:
        """Choose anew which control hosts are followed, and wake their tasks."""
        followed = self._sources.followed(self._tasks_by_address)
        if followed == self._followed:
            return
        self._followed = followed
        if self._is_entry:
            log.info("control_followed", addresses=",".join(sorted(followed)))
        refollowed, self._refollowed = self._refollowed, asyncio.Event()
        refollowed.set()

    async def _ask(
        self, address: str, request: watching.WatchRequest
    ) -> watching.WatchReply:
        data = await self._channel.call(
            address,
            roster_feed.WATCH_METHOD,
            codec.encode_msgpack(request),
            timeout=request.wait_ms / 1000 + MARGIN_S,
        )
        return codec.decode_msgpack(data, watching.WatchReply)

    def _take(self, address: str, reply: watching.WatchReply) -> None:
        entries = reply.entries
        if reply.packed_entries:
            entries = watching.unpack_entries(reply.packed_entries)
        if entries:
            if self._is_entry:
                self._merge(entries)
            self._sink.take_entries(entries)
        if reply.configuration:
            follow = watching.unpack_configuration(reply.configuration)
            self._take_configuration(follow)
        if reply.crashes:
            self._sink.take_crashes(reply.crashes)
        if reply.outliers:
            self._sink.on_outliers(reply.outliers)
        self._take_count(address, reply.entry_hosts)
        for other in reply.control_addresses:
            self._watch(other)

    def _merge(self, entries: tuple[watching.UpstreamEntry, ...]) -> None:
        now = self._clock.monotonic()
        for entry in entries:
            self._roster.merge(entry, now)
        self._roster.forget_gone(now)

    def _take_configuration(self, reply: control.FollowReply) -> None:
        before = self._published.revision
        try:
            if reply.state:
                state = codec.decode_msgpack(
                    reply.state, configuration.ConfigurationState
                )
                self._published.replace(state)
                self._needs_whole = False
            for raw in reply.deltas:
                delta = codec.decode_msgpack(raw, configuration.Delta)
                if delta.revision > self._published.revision:
                    self._published.advance(delta)
        except exceptions.StateMismatchError:
            self._needs_whole = True
            raise
        if self._published.revision != before:
            self._sink.take_state(self._published.state)

    def _take_hosts(self, address: str, hosts: tuple[watching.HostEntry, ...]) -> None:
        """Hand on the hosts that any control host knows.

        A control host that is gone would go on naming those it last knew; each that is
        gone as well costs a sweep a hedge now and then.

        :param hosts: none where they are those of before.
        """
        now = self._clock.monotonic()
        _, known_before = self._hosts_by_control.get(address, (now, ()))
        self._hosts_by_control[address] = now, hosts or known_before
        known = {
            host.id: host
            for heard_at, named in self._hosts_by_control.values()
            if now - heard_at < COUNT_LIFETIME_S
            for host in named
        }
        hosts = tuple(known[host_id] for host_id in sorted(known))
        if hosts != self._told_hosts:
            self._told_hosts = hosts
            self._sink.on_hosts(hosts)

    def _take_count(self, address: str, count: int) -> None:
        now = self._clock.monotonic()
        self._counts_by_address[address] = (now, count)
        # A control host that has just started has not heard of all; a share of
        # a bound that is too large breaks it, one that is too small does not.
        fresh = [
            said
            for said_at, said in self._counts_by_address.values()
            if now - said_at < COUNT_LIFETIME_S
        ]
        self._sink.take_entry_hosts(max(fresh))
