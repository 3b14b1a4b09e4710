"""Event loop of the decision core: submits events, runs actions, keeps timers."""

import asyncio
import collections
import typing

import msgspec

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import events
from greengagehaven.daemons import query_metrics as metrics_module
from greengagehaven.protocol import notices, search, upstream
from greengagehaven.replay import recording
from greengagehaven.state import directory

MAX_TIMERS_BEFORE_CLEANUP = 64
"""Timers kept before those that have fired are removed."""

Notify = typing.Callable[[msgspec.Struct], None]
SendToRecorder = typing.Callable[[events.SendRecorderRequest], None]


class CoreLoop:
    """Runs a decision core and carries out its actions.

    :param core: the decision core.
    :param channel: sends sub-requests to upstreams.
    :param directory_view: the zones of upstreams, for the metrics.
    :param notify: sends a message to the cores of the other live hosts.
    :param ask_recorder: sends a request to a recorder of idempotency keys.
    """

    def __init__(
        self,
        *,
        core: events.Core,
        channel: upstream.UpstreamChannel,
        clock: clocks.Clock,
        directory_view: directory.DirectoryView,
        metrics: metrics_module.QueryMetrics,
        notify: Notify = lambda payload: None,
        ask_recorder: SendToRecorder = lambda action: None,
    ) -> None:
        self.trace_recorder: recording.TraceRecorder | None = None
        self._core = core
        self._channel = channel
        self._clock = clock
        self._directory = directory_view
        self._metrics = metrics
        self._notify = notify
        self._ask_recorder = ask_recorder
        self._events: collections.deque[events.Event] = collections.deque()
        self._is_stepping = False
        self._futures_by_request_id: dict[str, asyncio.Future] = {}
        self._in_flight_by_shard: dict[tuple[str, upstream.ShardRef], int] = {}
        self._shards_by_id: dict[tuple[str, int], upstream.ShardRef] = {}
        self._shards_by_request_id: dict[str, set[upstream.ShardRef]] = {}
        self._timers: set[asyncio.TimerHandle] = set()
        self._handlers: dict[type, typing.Callable[[typing.Any], None]] = {
            events.Dispatch: self._dispatch,
            events.Cancel: self._cancel,
            events.AnswerQuery: self._answer,
            events.RefuseQuery: self._refuse,
            events.RetireConnections: self._retire,
            events.NotifyPeers: self._notify_peers,
            events.SendRecorderRequest: self._ask_recorder,
            events.WakeAt: self._wake_at,
        }

    @property
    def waiting_count(self) -> int:
        """Return the number of queries whose caller waits."""
        return len(self._futures_by_request_id)

    async def search(self, submitted: events.QuerySubmitted) -> search.Answer:
        """Run a query and return its answer.

        If the caller disconnects, this coroutine is cancelled and the core gets
        ``QueryAbandoned``.

        :raises RequestError: the query was refused or failed.
        """
        future = asyncio.get_running_loop().create_future()
        self._futures_by_request_id[submitted.request_id] = future
        self._shards_by_request_id[submitted.request_id] = set()
        started = self._clock.monotonic()
        try:
            self.submit(submitted)
            answer = await future
        except exceptions.RequestError as error:
            elapsed = self._clock.monotonic() - started
            kind = "" if error.code == "unknown_kind" else submitted.kind
            self._metrics.observe_refusal(kind, elapsed, error.code)
            raise
        except asyncio.CancelledError:
            self.submit(events.QueryAbandoned(request_id=submitted.request_id))
            raise
        finally:
            self._futures_by_request_id.pop(submitted.request_id, None)
            self._shards_by_request_id.pop(submitted.request_id, None)
        elapsed = self._clock.monotonic() - started
        self._metrics.observe_answer(submitted.kind, elapsed, answer.coverage)
        return answer

    def submit(self, event: events.Event) -> None:
        """Pass an event to the core and carry out the actions that it returns.

        An action may end immediately and submit another event. That event is
        queued until all actions of the first have been carried out, so that the
        core is never re-entered.
        """
        self._events.append(event)
        if self._is_stepping:
            return
        self._is_stepping = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._is_stepping = False

    def close(self) -> None:
        """Cancel the timers and fail the queries in flight."""
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        for future in self._futures_by_request_id.values():
            if not future.done():
                error = exceptions.DrainingError(
                    "the host stopped", ran=exceptions.Ran.UNKNOWN
                )
                future.set_exception(error)

    def _step(self, event: events.Event) -> None:
        if isinstance(event, events.PeerNotice):
            _log_quarantine(event.payload)
        try:
            actions = self._core.step(event)
            if self.trace_recorder is not None:
                self.trace_recorder.record_step(event, actions)
            for action in actions:
                self._handlers[type(action)](action)
        except Exception as error:
            # An exception in one step must not stop the loop for all queries. A
            # new query fails at once; one in flight ends at its deadline.
            log.error(
                "core_failed",
                step=type(event).__name__,
                error=type(error).__name__,
                detail=error,
            )
            if isinstance(event, events.QuerySubmitted):
                self._fail(event.request_id)

    def _fail(self, request_id: str) -> None:
        future = self._futures_by_request_id.get(request_id)
        if future is not None and not future.done():
            future.set_exception(
                exceptions.GreengagehavenError("unexpected failure, see the host's log")
            )

    def _dispatch(self, action: events.Dispatch) -> None:
        for sub_request in action.batch:
            self._count_dispatch(sub_request)
        self._channel.dispatch(action.batch, self._on_outcome)

    def _count_dispatch(self, sub_request: upstream.SubRequest) -> None:
        shard_ref = sub_request.shard_ref
        key = (sub_request.request_id, shard_ref)
        in_flight = self._in_flight_by_shard.get(key, 0)
        # A request whose caller disconnected may still be dispatched. Its set is
        # not stored: ``search`` has ended, so nothing would remove it again.
        seen = self._shards_by_request_id.get(sub_request.request_id, set())
        if in_flight:
            purpose = "hedge"
        elif shard_ref in seen:
            purpose = "retry"
        else:
            purpose = "primary"
        seen.add(shard_ref)
        self._in_flight_by_shard[key] = in_flight + 1
        self._shards_by_id[sub_request.id] = shard_ref
        self._metrics.count_sub_request(purpose)

    def _on_outcome(self, outcome: upstream.Outcome) -> None:
        shard_ref = self._shards_by_id.pop((outcome.request_id, outcome.attempt))
        key = (outcome.request_id, shard_ref)
        remaining = self._in_flight_by_shard[key] - 1
        if remaining:
            self._in_flight_by_shard[key] = remaining
        else:
            del self._in_flight_by_shard[key]
        announcement = self._directory.upstreams_by_id.get(outcome.upstream_id)
        zone = announcement.availability_zone if announcement else "gone"
        failed = isinstance(outcome, upstream.Failed)
        name = str(outcome.reason) if failed else "ok"
        self._metrics.count_outcome(zone, name)
        self.submit(events.OutcomeReceived(outcome=outcome))

    def _cancel(self, action: events.Cancel) -> None:
        self._channel.cancel(action.request_id, action.attempt)

    def _answer(self, action: events.AnswerQuery) -> None:
        future = self._futures_by_request_id.get(action.answer.request_id)
        if future is not None and not future.done():
            future.set_result(action.answer)

    def _refuse(self, action: events.RefuseQuery) -> None:
        future = self._futures_by_request_id.get(action.request_id)
        if future is not None and not future.done():
            future.set_exception(action.error)

    def _retire(self, action: events.RetireConnections) -> None:
        self._channel.retire_connections(action.upstream_id)

    def _notify_peers(self, action: events.NotifyPeers) -> None:
        _log_quarantine(action.payload)
        self._notify(action.payload)

    def _wake_at(self, action: events.WakeAt) -> None:
        self._schedule_wake(action.moment)

    def _schedule_wake(self, moment: float) -> None:
        delay = max(0.0, moment - self._clock.monotonic())
        loop = asyncio.get_running_loop()
        timer = loop.call_later(delay, self._wake, moment)
        self._timers.add(timer)
        if len(self._timers) > MAX_TIMERS_BEFORE_CLEANUP:
            now = loop.time()
            self._timers = {timer for timer in self._timers if timer.when() > now}

    def _wake(self, moment: float) -> None:
        # The event loop may run a timer early, by up to the resolution of its
        # clock. The core would find nothing due and would not ask for another
        # wake-up, so every later deadline of the host would be missed.
        if self._clock.monotonic() < moment:
            self._schedule_wake(moment)
            return
        self.submit(events.TimeReached())


def _log_quarantine(notice: msgspec.Struct) -> None:
    if isinstance(notice, notices.QuarantineReport):
        log.warning(
            "query_quarantined",
            fingerprint=notice.fingerprint,
            times=notice.bans,
            upstreams=",".join(notice.upstream_ids),
        )
