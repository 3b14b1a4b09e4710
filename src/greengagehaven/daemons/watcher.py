"""Long polls to control hosts for changes of upstreams and configuration."""

import asyncio
import contextlib
import dataclasses
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven import rng as rngs
from greengagehaven.coordination import (
    control_contact,
    control_host_selection,
    peers,
)
from greengagehaven.coordination.routing import key_lease
from greengagehaven.daemons import (
    change_handler,
    contact_recovery,
    entry_host_list,
    fault_reports,
    roster_feed,
)
from greengagehaven.protocol import codec, control, watching
from greengagehaven.state import configuration, configuration_history, roster
from greengagehaven.transport import background_tasks

LONG_POLL_S = 1.5
"""Longest time in seconds that a control host holds a call until it has changes to
return."""

TIMEOUT_MARGIN_S = 0.7
"""Seconds by which the timeout of a call exceeds the time that it may be held."""

INITIAL_WAIT_S = 0.0
RETRY_DELAY_S = 0.15
LOST_AFTER_S = 3.0

MAX_REVISION = 2**62
"""Held revision that a host sends if it doesn't follow the configuration this way."""

CONFIRM_PERIOD_S = 1.0
"""Seconds until a digest that differed is compared again. Meanwhile the followed
control host usually returns the same changes."""

SETTLING_PERIOD_S = 0.25
"""Seconds between comparisons while the control hosts to follow are being chosen."""

COMPARE_RETRY_S = 1.0
MAINTENANCE_PERIOD_S = 0.5
REDELIVERY_DELAY_S = 5.0
JITTER = (0.75, 1.25)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Position:
    """How far this host has received the changes of one control host.

    :param feed: id of the control host's feed, new after each restart; versions of
        different feeds can't be compared.
    :param heard_at: monotonic seconds of the last reply, ``None`` before the first.
    :param is_lost: whether the loss of the control host was logged.
    :param has_confirmed: whether the last reply was asked to confirm the revision.
    """

    feed: str = ""
    version: int = 0
    crash_version: int = 0
    outlier_version: int = 0
    members_digest: int = 0
    hosts_digest: int = 0
    comparison: control_host_selection.DigestComparison = dataclasses.field(
        default_factory=control_host_selection.DigestComparison
    )
    heard_at: float | None = None
    is_lost: bool = False
    has_confirmed: bool = False


class Watcher:
    """Calls all control hosts and holds the newest state that any of them returns.

    All are called, because a control host that was cut off without notice goes on
    returning its last state; the revision of the configuration only increases. Those
    that are not followed return digests, and changes only if the digests differ.

    :param channel: calls to other hosts.
    :param host_id: id of this host.
    :param availability_zone: zone of this host.
    :param is_entry: whether this host accepts requests of callers.
    :param control_addresses: peer addresses of control hosts to start from.
    :param own_address: this host's own peer address, which is not called.
    :param delegation_address: address where other entry hosts delegate attempts to
        this one, empty if they can't.
    :param follows_configuration: whether this host also gets the configuration
        through these calls.
    :param control_host_selector: chooses the control hosts to follow.
    :param confirmation_period: returns the seconds within which the revision is to be
        confirmed again, ``None`` if there is no need.
    :param sink: receives the changes.
    :param clock: source of time.
    :param rng: jitter, so that hosts started together don't call in step.
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
        delegation_address: str = "",
        follows_configuration: bool = True,
        control_host_selector: control_host_selection.ControlHostSelector,
        confirmation_period: abc.Callable[[], float | None] = lambda: None,
        sink: change_handler.ChangeHandler,
        clock: clocks.Clock,
        rng: rngs.Rng,
    ) -> None:
        self._channel = channel
        self._host_id = host_id
        self._availability_zone = availability_zone
        self._is_entry = is_entry
        self._own_address = own_address
        self._delegation_address = delegation_address
        self.contact = control_contact.ControlContact(clock=clock, rng=rng)
        self.recovery = contact_recovery.ContactRecovery(
            channel=channel,
            contact=self.contact,
            entry_addresses=self._entry_addresses,
            on_found=self._on_control_hosts_received,
            held_revision=lambda: self._history.revision,
        )
        self.reporter = fault_reports.FaultReporter(
            channel=channel,
            host_id=host_id,
            known=lambda: self.known_control_addresses,
            followed=lambda: self._followed,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._entry_hosts = entry_host_list.EntryHostList(sink=sink, clock=clock)
        self._follows_configuration = follows_configuration
        self._control_host_selector = control_host_selector
        self._confirmation_period = confirmation_period
        self._followed: frozenset[str] = frozenset()
        self._followed_changed = asyncio.Event()
        self._sink = sink
        self._clock = clock
        self._rng = rng
        self._roster = roster.Roster(host_name=host_id, silence_timeout=float("inf"))
        self._history = configuration_history.ConfigurationHistory()
        self._needs_full_state = False
        self._delivered_revision = 0
        self._redeliver_at = 0.0
        self._seeds = tuple(control_addresses)
        self._tasks_by_address: dict[str, asyncio.Task[None]] = {}
        self._is_closed = False

    def start(self) -> None:
        """Start calling control hosts."""
        self.set_seeds(self._seeds)
        self._tasks = [
            background_tasks.start(self._maintain_forever, task="maintain_watches")
        ]
        if self._is_entry:
            recover = background_tasks.start(self.recovery.run, task="recover_contact")
            self._tasks.append(recover)

    def set_seeds(self, addresses: abc.Iterable[str]) -> None:
        """Watch these control hosts as well."""
        self._seeds = tuple(addresses)
        self.contact.set_seeds(self._seeds)
        for address in self._seeds:
            self._watch(address, source="settings")

    async def close(self) -> None:
        """Stop calling control hosts."""
        self._is_closed = True
        tasks = [*self._tasks_by_address.values(), *self._tasks]
        self._tasks_by_address.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.reporter.close()

    @property
    def followed(self) -> frozenset[str]:
        """Return the peer addresses of the control hosts that this host follows."""
        return self._followed

    @property
    def known_control_addresses(self) -> tuple[str, ...]:
        """Return the peer addresses of all control hosts that this host calls."""
        return tuple(self._tasks_by_address)

    def _entry_addresses(self) -> tuple[str, ...]:
        """Return the peer addresses of the other entry hosts that were named last."""
        return tuple(
            host.address for host in self._entry_hosts.hosts if host.id != self._host_id
        )

    def _on_control_hosts_received(self, addresses: tuple[str, ...]) -> None:
        for address in addresses:
            self._watch(address, source="entry_host")

    async def _maintain_forever(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_PERIOD_S)
            for address in self.contact.removed_addresses():
                self._unwatch(address)
            is_due = self._clock.monotonic() >= self._redeliver_at
            if is_due and self._history.revision != self._delivered_revision:
                self._deliver_configuration()

    def _watch(self, address: str, *, source: str) -> None:
        """Start calling a control host unless it is called already.

        :param source: who named it, for the log.
        """
        is_known = address == self._own_address or address in self._tasks_by_address
        if is_known or self._is_closed:
            return
        log.info("control_watched", address=address, source=source)
        self.contact.on_watched(address)
        task = background_tasks.start(
            lambda: self._watch_forever(address), task="watch", address=address
        )
        self._tasks_by_address[address] = task

    def _unwatch(self, address: str) -> None:
        """Stop calling a control host that was removed from the group."""
        log.info("control_forgotten", address=address)
        self.contact.forget(address)
        self._entry_hosts.forget(address)
        self._control_host_selector.on_failure(address)
        self._tasks_by_address.pop(address).cancel()
        self._update_followed()

    async def _watch_forever(self, address: str) -> None:
        position = _Position()
        wait = INITIAL_WAIT_S
        while True:
            compares = self._should_compare(address, position)
            request = self._request(position, wait=wait, compares=compares)
            sent_at = self._clock.monotonic()
            try:
                reply = await self._call(address, request)
                self.contact.on_revision(reply.revision)
                self._apply_reply(address, reply)
                self._apply_confirmation(reply, sent_at)
            except (
                exceptions.PeerError,
                exceptions.InvalidRequestError,
                exceptions.StateMismatchError,
            ) as error:
                self._on_failure(address, position, error)
                wait = INITIAL_WAIT_S
                is_redundant = (
                    compares and self._control_host_selector.is_initial_wait_over
                )
                await asyncio.sleep(COMPARE_RETRY_S if is_redundant else RETRY_DELAY_S)
                continue
            except Exception as error:
                # Its changes are not applied, so another control host is followed
                # until this task has been restarted, and then gets the full state.
                self._on_failure(address, position, error)
                raise
            self._on_reply(address, position, reply)
            if compares:
                self._compare(position, reply)
                wait = INITIAL_WAIT_S
                await self._wait_before_next(address, position)
                continue
            self._entry_hosts.apply_hosts(address, reply.hosts + reply.remote_hosts)
            self._advance(position, reply)
            position.outlier_version = reply.outlier_version
            # The next call immediately confirms that these changes are held. Only
            # then may an upstream that is leaving be told that it may stop.
            position.has_confirmed = request.confirms
            wait = self._long_poll(position)

    def _long_poll(self, position: _Position) -> float:
        """Return the seconds for which the next call may be held.

        A call is held no longer than the confirmation period, since its reply renews
        the key lease. The first call that asks for a confirmation is not held, as
        requests with keys are refused until its reply.
        """
        period = self._confirmation_period()
        if period is None:
            return LONG_POLL_S
        return min(LONG_POLL_S, period) if position.has_confirmed else INITIAL_WAIT_S

    def _request(
        self, position: _Position, *, wait: float, compares: bool
    ) -> watching.WatchRequest:
        return watching.WatchRequest(
            host_id=self._host_id,
            availability_zone=self._availability_zone,
            is_entry=self._is_entry,
            feed=position.feed,
            held_version=position.version,
            held_revision=self._history.revision
            if self._follows_configuration
            else MAX_REVISION,
            whole=self._needs_full_state,
            wait_ms=0 if compares else round(wait * 1000),
            held_crashes=position.crash_version,
            held_members=position.members_digest,
            address=self._delegation_address,
            held_hosts=position.hosts_digest,
            held_outliers=position.outlier_version,
            digests_only=compares,
            confirms=self._confirmation_period() is not None,
        )

    def _should_compare(self, address: str, position: _Position) -> bool:
        """Return whether the next call to a control host only compares digests.

        A control host that is not followed is asked for its updates as well once it
        turned out to have some that the followed ones do not deliver.
        """
        if address in self._followed:
            return False
        return not (position.comparison.has_missing_updates and self._followed)

    def _compare(self, position: _Position, reply: watching.WatchReply) -> None:
        """Record whether a control host has changes that this host lacks."""
        is_behind = (
            self._follows_configuration and reply.revision > self._history.revision
        )
        if not is_behind and self._is_up_to_date(reply):
            self._advance(position, reply)
            return
        position.crash_version = reply.crash_version
        position.members_digest = reply.members_digest
        position.comparison.on_digest_mismatch(
            reply.digest, self._clock.monotonic(), is_newer=is_behind
        )

    def _is_up_to_date(self, reply: watching.WatchReply) -> bool:
        """Return whether this host has the same roster as a control host."""
        return reply.digest == self._roster.digest

    def _advance(self, position: _Position, reply: watching.WatchReply) -> None:
        """Record that the changes up to the version of a reply are held."""
        position.comparison.on_up_to_date(
            None if self._is_up_to_date(reply) else reply.digest
        )
        position.feed, position.version = reply.feed, reply.version
        position.crash_version = reply.crash_version
        position.members_digest = reply.members_digest
        if reply.hosts or reply.remote_hosts:
            position.hosts_digest = reply.hosts_digest

    async def _wait_before_next(self, address: str, position: _Position) -> None:
        """Wait for the next comparison, or until the control host is followed."""
        unfollowed_count = len(self._tasks_by_address) - len(self._followed)
        period = control_host_selection.compare_period(unfollowed_count)
        if not self._control_host_selector.is_initial_wait_over:
            period = SETTLING_PERIOD_S
        elif position.comparison.is_unresolved:
            period = CONFIRM_PERIOD_S
        followed_changed = self._followed_changed
        self._update_followed()
        if address in self._followed:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(period * self._rng.uniform(*JITTER)):
                await followed_changed.wait()

    def _on_reply(
        self, address: str, position: _Position, reply: watching.WatchReply
    ) -> None:
        if position.is_lost or position.heard_at is None:
            log.info("control_reached", address=address, feed=reply.feed)
        position.is_lost = False
        position.heard_at = self._clock.monotonic()
        self.contact.on_reply(
            address, has_quorum=reply.has_quorum, members=reply.control_addresses
        )
        self._control_host_selector.on_reply(
            address, zone=reply.availability_zone, has_quorum=reply.has_quorum
        )
        self._update_followed()

    def _on_failure(
        self,
        address: str,
        position: _Position,
        error: Exception,
    ) -> None:
        now, heard_at = self._clock.monotonic(), position.heard_at
        is_overdue = heard_at is None or now - heard_at > LOST_AFTER_S
        if is_overdue and not position.is_lost:
            position.is_lost = True
            detail = getattr(error, "detail", "") or type(error).__name__
            log.warning("control_lost", address=address, error=detail)
        self._control_host_selector.on_failure(address)
        self._update_followed()

    def _update_followed(self) -> None:
        """Update which control hosts are followed; wake all tasks if that changed."""
        followed = self._control_host_selector.select(self._tasks_by_address)
        if followed == self._followed:
            return
        self._followed = followed
        if self._is_entry:
            log.info("control_followed", addresses=",".join(sorted(followed)))
        followed_changed, self._followed_changed = (
            self._followed_changed,
            asyncio.Event(),
        )
        followed_changed.set()

    async def _call(
        self, address: str, request: watching.WatchRequest
    ) -> watching.WatchReply:
        data = await self._channel.call(
            address,
            roster_feed.WATCH_METHOD,
            codec.encode_msgpack(request),
            timeout=request.wait_ms / 1000 + TIMEOUT_MARGIN_S,
        )
        return codec.decode_msgpack(data, watching.WatchReply)

    def _apply_reply(self, address: str, reply: watching.WatchReply) -> None:
        entries = reply.entries
        if reply.packed_entries:
            entries = watching.unpack_entries(reply.packed_entries)
        if entries:
            if self._is_entry:
                self._merge(entries)
            self._sink.on_upstream_entries(entries)
        if reply.configuration:
            follow = watching.unpack_configuration(reply.configuration)
            self._apply_configuration(follow)
        if reply.crashes:
            self._sink.on_crashes(reply.crashes)
        if reply.outliers:
            self._sink.on_outliers(reply.outliers)
        self._entry_hosts.apply_count(address, reply.entry_host_count)
        for other in reply.control_addresses:
            self._watch(other, source="members")

    def _apply_confirmation(self, reply: watching.WatchReply, sent_at: float) -> None:
        """Pass on the confirmation in a reply, after its changes were applied."""
        if reply.staleness_ms is None:
            return
        confirmed_at = key_lease.confirmation_time(
            sent_at=sent_at,
            received_at=self._clock.monotonic(),
            held=reply.held_ms / 1000,
            staleness=reply.staleness_ms / 1000,
        )
        self._sink.on_configuration_confirmed(reply.revision, confirmed_at)

    def _merge(self, entries: tuple[watching.UpstreamEntry, ...]) -> None:
        """Merge entries into the roster here, of which only the digest is used."""
        now = self._clock.monotonic()
        for entry in entries:
            self._roster.merge(entry, now)
        self._roster.evict_gone(now)

    def _apply_configuration(self, reply: control.FollowReply) -> None:
        try:
            if reply.state:
                state = codec.decode_msgpack(
                    reply.state, configuration.ConfigurationState
                )
                self._history.replace(state)
                self._needs_full_state = False
            for raw in reply.deltas:
                delta = codec.decode_msgpack(raw, configuration.Delta)
                if delta.revision > self._history.revision:
                    self._history.apply_delta(delta)
        except exceptions.StateMismatchError:
            self._needs_full_state = True
            raise
        if self._history.revision != self._delivered_revision:
            self._deliver_configuration()

    def _deliver_configuration(self) -> None:
        """Pass on the newest configuration; if that fails, it is repeated later.

        Control hosts don't send it again, and a failure must not keep the other
        changes of the same reply away.
        """
        state = self._history.state
        try:
            self._sink.on_configuration(state)
        except Exception as error:
            background_tasks.record_failure(
                "apply_configuration", error, revision=state.revision
            )
            self._redeliver_at = self._clock.monotonic() + REDELIVERY_DELAY_S
            return
        self._delivered_revision = state.revision
