"""Lets other entry hosts ask some shards of a sweep, and takes their reports."""

import asyncio
import dataclasses
import itertools
import secrets
import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven.coordination import peers
from greengagehaven.coordination.routing import events
from greengagehaven.daemons import gatherer
from greengagehaven.protocol import codec, gathering
from greengagehaven.transport import http

REPORT_SLACK_S = 0.4
"""Seconds after the caller's time at which a report is waited for no more; what was
released may last 0.3 s."""

RELEASE_TIMEOUT_S = 0.5
KEY_BYTES = 4
_MS = 1000.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Part:
    """A part that another host merged with others.

    :param report: that it came in; its records are those of all its parts.
    """

    signature: str
    report: gathering.Report


class Sink(typing.Protocol):
    """What is told how delegated attempts end."""

    def take_started(self, attempt: int) -> None:
        """Note that a byte of an attempt may leave from now on."""

    def take_report(self, report: events.AttemptsReported) -> None:
        """Take attempts that ended together."""

    def take_helper_end(self, ended: events.HelperEnded) -> None:
        """Note that a call to another host is over."""


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class _Call:
    """Attempts at another host."""

    key: str
    address: str
    open: set[int]
    until: float


class Delegating:
    """Calls of this host to others that ask shards for it.

    :param host_id: of this host.
    :param channel: calls to other hosts.
    :param sink: told how attempts end.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        host_id: str,
        channel: peers.PeerChannel,
        sink: Sink,
        clock: clocks.Clock,
    ) -> None:
        # A host that restarts counts anew; its old calls may still be known elsewhere.
        self._prefix = f"{host_id}:{secrets.token_hex(KEY_BYTES)}"
        self._numbers = itertools.count(1)
        self._channel = channel
        self._sink = sink
        self._clock = clock
        self._calls_by_attempt: dict[int, _Call] = {}
        self._parts_by_attempt: dict[int, Part | None] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self,
        delegate: events.Delegate,
        request: http.Request,
        *,
        request_id: str,
        headers: abc.Iterable[tuple[str, str]],
    ) -> None:
        """Call another host.

        :param headers: of the request, as they go to upstreams.
        """
        left = max(send.time_left for send in delegate.sends)
        call = _Call(
            key=f"{self._prefix}:{next(self._numbers)}",
            address=delegate.address,
            open={send.attempt for send in delegate.sends},
            until=self._clock.monotonic() + left + REPORT_SLACK_S,
        )
        for send in delegate.sends:
            self._calls_by_attempt[send.attempt] = call
            self._parts_by_attempt[send.attempt] = None
        message = gathering.GatherRequest(
            key=call.key,
            request_id=request_id,
            method=request.method,
            target=request.target,
            headers=tuple(headers),
            body=request.body,
            asks=tuple(
                gathering.Ask(
                    attempt=send.attempt,
                    upstream_id=send.upstream_id,
                    address=send.address,
                    connections=send.connections,
                )
                for send in delegate.sends
            ),
            left_ms=max(1, round(left * _MS)),
            report_ms=round(delegate.report_after * _MS),
            top_records=delegate.top_records,
        )
        self._spawn(self._run(call, codec.encode_msgpack(message)))

    def holds(self, attempt: int) -> bool:
        """Tell whether another host has an attempt that has not ended."""
        return attempt in self._calls_by_attempt

    def release(self, attempts: abc.Iterable[int]) -> None:
        """Note that nobody waits for some attempts any more."""
        attempts_by_call: dict[_Call, list[int]] = {}
        for attempt in attempts:
            call = self._calls_by_attempt.get(attempt)
            if call is not None:
                attempts_by_call.setdefault(call, []).append(attempt)
        for call, released in attempts_by_call.items():
            self._spawn(self._release(call, tuple(released)))

    def part_of(self, attempt: int) -> Part | None:
        """Return the part that an attempt brought, ``None`` for none."""
        return self._parts_by_attempt.get(attempt)

    def forget(self, attempt: int) -> None:
        """Forget what an attempt brought; its request is over."""
        self._parts_by_attempt.pop(attempt, None)

    async def close(self) -> None:
        """Wait for no report any more."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _spawn(self, work: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, call: _Call, body: bytes) -> None:
        for attempt in call.open:
            self._sink.take_started(attempt)
        method = gatherer.GATHER_METHOD
        try:
            while True:
                left = call.until - self._clock.monotonic()
                data = await self._channel.call(
                    call.address, method, body, timeout=max(0.0, left)
                )
                report = codec.decode_msgpack(data, gathering.Report)
                self._take(call, report)
                if report.is_last:
                    break
                method = gatherer.REST_METHOD
                body = codec.encode_msgpack(gathering.RestRequest(key=call.key))
        except (exceptions.PeerError, exceptions.InvalidRequestError) as error:
            self._fail(call, method, error)
            return
        self._sink.take_helper_end(events.HelperEnded(address=call.address))

    def _take(self, call: _Call, report: gathering.Report) -> None:
        ended = [each for each in report.ended if each.attempt in call.open]
        for each in ended:
            self._close_attempt(call, each.attempt)
            if each.signature and each.attempt in self._parts_by_attempt:
                self._parts_by_attempt[each.attempt] = Part(
                    signature=each.signature, report=report
                )
        self._sink.take_report(
            events.AttemptsReported(
                ended=tuple(_event_of(each) for each in ended),
                open=() if report.is_early else tuple(sorted(call.open)),
            )
        )

    def _fail(
        self,
        call: _Call,
        method: str,
        error: exceptions.PeerError | exceptions.InvalidRequestError,
    ) -> None:
        # The host says that it took nothing, or never heard of it.
        is_unsent = method == gatherer.GATHER_METHOD and (
            isinstance(error, exceptions.PeerRefusedError)
            or isinstance(error.__cause__, exceptions.ConnectError)
        )
        fault = events.Fault.UNSENT if is_unsent else events.Fault.HELPER
        failed = events.Failed(fault=fault, detail=error.detail)
        attempts = sorted(call.open)
        for attempt in attempts:
            self._close_attempt(call, attempt)
        self._sink.take_helper_end(
            events.HelperEnded(address=call.address, failed=error.detail)
        )
        ended = (
            events.AttemptEnded(attempt=attempt, outcome=failed) for attempt in attempts
        )
        self._sink.take_report(events.AttemptsReported(ended=tuple(ended)))

    def _close_attempt(self, call: _Call, attempt: int) -> None:
        call.open.discard(attempt)
        self._calls_by_attempt.pop(attempt, None)

    async def _release(self, call: _Call, attempts: tuple[int, ...]) -> None:
        message = gathering.ReleaseRequest(key=call.key, attempts=attempts)
        try:
            await self._channel.call(
                call.address,
                gatherer.RELEASE_METHOD,
                codec.encode_msgpack(message),
                timeout=RELEASE_TIMEOUT_S,
            )
        except exceptions.PeerError:
            # The call itself fails as well and says so.
            return


def _event_of(ended: gathering.Ended) -> events.AttemptEnded:
    outcome: events.Replied | events.Failed
    if ended.fault:
        outcome = events.Failed(
            fault=events.Fault(ended.fault),
            detail=ended.detail,
            is_mute=ended.is_mute,
            is_fresh=ended.is_fresh,
        )
    else:
        load = None
        if ended.load:
            running, waiting, slots = ended.load
            load = events.Load(running=running, waiting=waiting, slots=slots)
        outcome = events.Replied(
            status=ended.status,
            is_success=ended.is_success,
            not_run=ended.not_run,
            load=load,
            size=ended.size,
            took=ended.took_ms / _MS,
            is_merged=bool(ended.signature),
        )
    return events.AttemptEnded(attempt=ended.attempt, outcome=outcome)
