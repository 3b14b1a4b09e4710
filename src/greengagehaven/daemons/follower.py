"""Configuration of an entry host: follows it, serves it to peers and reports it."""

import asyncio
import typing
from collections import abc

import prometheus_client

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven import rng as rngs
from greengagehaven.coordination import configuration_source, peers
from greengagehaven.daemons import publisher
from greengagehaven.protocol import codec, control
from greengagehaven.state import configuration, configuration_history
from greengagehaven.transport import background_tasks


class ConfigurationFollower:
    """Keeps an entry host at the newest configuration that it can reach.

    It follows a control host, or another entry host if no control host can be
    reached, and serves the same calls to other hosts. The revision only increases.

    :param channel: calls to other hosts.
    :param host_id: id of this host, for its reports.
    :param availability_zone: zone of this host, for its reports.
    :param control_addresses: peer addresses of control hosts.
    :param peer_addresses: returns the peer addresses of live entry hosts.
    :param on_state: puts a newer state in force on this host; raises
        ``DocumentError`` if this version cannot read the document.
    :param clock: source of time.
    :param rng: source of randomness.
    :param registry: registry for the metrics; ``None`` for no metrics.
    :param timing: periods and delays.
    """

    def __init__(
        self,
        *,
        channel: peers.PeerChannel,
        host_id: str,
        availability_zone: str,
        control_addresses: abc.Sequence[str],
        peer_addresses: abc.Callable[[], abc.Sequence[str]] = tuple,
        on_state: abc.Callable[[configuration.ConfigurationState], object],
        clock: clocks.Clock,
        rng: rngs.Rng,
        registry: prometheus_client.CollectorRegistry | None = None,
        timing: configuration_source.Timing | None = None,
    ) -> None:
        self._channel = channel
        self._host_id = host_id
        self._availability_zone = availability_zone
        self._on_state = on_state
        self._timing = timing or configuration_source.Timing()
        self._history = configuration_history.ConfigurationHistory()
        self._source_selector = configuration_source.SourceSelector(
            control_addresses=control_addresses,
            peer_addresses=peer_addresses,
            clock=clock,
            rng=rng,
            timing=self._timing,
        )
        self._publisher = publisher.ConfigurationPublisher(
            history=self._history,
            staleness=lambda: self._source_selector.staleness,
            clock=clock,
        )
        self._revision = 0
        self._refused_revision = 0
        self._needs_full_state = False
        self._apply_seconds = 0.0
        self._clock = clock
        self._tasks: list[asyncio.Task[None]] = []
        self._in_force = asyncio.Event()
        self._add_metrics(registry)

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return the handlers for a ``GrpcPeerServer``."""
        return {publisher.FOLLOW_METHOD: self._publisher.handle}

    @property
    def revision(self) -> int:
        """Return the revision in force on this host, 0 if there is none."""
        return self._revision

    @property
    def staleness(self) -> float:
        """Return the seconds since a leader last confirmed that nothing is newer."""
        return self._source_selector.staleness

    def start(self) -> None:
        """Start following."""
        self._tasks = [
            background_tasks.start(self._follow_forever, task="follow"),
            background_tasks.start(self._probe_forever, task="probe_source"),
        ]

    async def wait_in_force(self) -> None:
        """Wait until a revision is in force."""
        await self._in_force.wait()

    async def close(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []
        self._publisher.close()

    async def _follow_forever(self) -> None:
        while True:
            call = self._source_selector.next_call(no_wait=self._revision == 0)
            if call is None or not await self._call(call):
                await asyncio.sleep(self._timing.retry_delay)
            else:
                await asyncio.sleep(
                    self._source_selector.pause_after(self._apply_seconds)
                )
                self._apply_seconds = 0.0

    async def _probe_forever(self) -> None:
        while True:
            await asyncio.sleep(self._source_selector.probe_delay)
            call = self._source_selector.next_probe()
            if call is not None:
                await self._call(call)

    async def _call(self, call: configuration_source.Call) -> bool:
        request = control.FollowRequest(
            held_revision=self._history.revision,
            wait_ms=round(call.wait * 1000),
            whole=self._needs_full_state,
            reports=(self._report(), *self._publisher.fresh_reports()),
        )
        try:
            data = await self._channel.call(
                call.address,
                publisher.FOLLOW_METHOD,
                codec.encode_msgpack(request),
                timeout=call.timeout,
            )
            reply = codec.decode_msgpack(data, control.FollowReply)
            is_newer = self._apply_reply(reply)
        except exceptions.PeerError as error:
            log.debug("follow_failed", source=call.address, error=error.detail)
            self._source_selector.on_failure(call.address)
            return False
        except (exceptions.StateMismatchError, exceptions.InvalidRequestError) as error:
            # The deltas do not apply to the state held here, for example after
            # the control hosts were recovered from one that had missed changes. The
            # same deltas would fail again, so the next call asks for the full state.
            self._needs_full_state = True
            log.error("follow_mismatch", source=call.address, error=error.detail)
            self._source_selector.on_failure(call.address)
            return False
        age = reply.age_ms / 1000
        self._source_selector.on_reply(call.address, staleness=age, is_newer=is_newer)
        return True

    def _report(self) -> control.RevisionReport:
        return control.RevisionReport(
            host_id=self._host_id,
            availability_zone=self._availability_zone,
            revision=self._revision,
            refused_revision=self._refused_revision,
        )

    def _apply_reply(self, reply: control.FollowReply) -> bool:
        """Apply a reply; return whether it brought a newer revision."""
        before = self._history.revision
        if reply.state:
            state = codec.decode_msgpack(reply.state, configuration.ConfigurationState)
            self._history.replace(state)
            self._needs_full_state = False
        for raw in reply.deltas:
            delta = codec.decode_msgpack(raw, configuration.Delta)
            # A probe and the long poll may both return the same deltas.
            if delta.revision > self._history.revision:
                self._history.apply_delta(delta)
        if self._history.revision == before:
            return False
        started = self._clock.monotonic()
        self._put_in_force(self._history.state)
        self._apply_seconds = self._clock.monotonic() - started
        self._publisher.notify()
        return True

    def _put_in_force(self, state: configuration.ConfigurationState) -> None:
        try:
            self._on_state(state)
        except exceptions.DocumentError as error:
            # Control hosts refuse invalid documents, so this happens only if they
            # run a newer version than this host.
            self._refused_revision = state.revision
            log.error("revision_refused", revision=state.revision, error=error.detail)
            return
        self._revision = state.revision
        self._refused_revision = 0
        self._in_force.set()
        log.debug("revision_in_force", revision=state.revision, digest=state.digest)

    def _add_metrics(
        self, registry: prometheus_client.CollectorRegistry | None
    ) -> None:
        if registry is None:
            return
        gauges: dict[str, tuple[str, typing.Callable[[], float]]] = {
            "greengagehaven_configuration_revision": (
                "Revision in force on this host",
                lambda: self._revision,
            ),
            "greengagehaven_configuration_age_seconds": (
                "Time since a control leader was last heard from",
                lambda: self._source_selector.staleness,
            ),
        }
        for name, (text, read) in gauges.items():
            gauge = prometheus_client.Gauge(name, text, registry=registry)
            gauge.set_function(read)
