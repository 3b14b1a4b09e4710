"""Delegates attempts of a sweep to other entry hosts and receives their reports."""

import asyncio
import dataclasses
import itertools
import secrets
import typing
from collections import abc

import msgspec

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven.coordination.routing import events
from greengagehaven.daemons import delegation_server
from greengagehaven.protocol import codec, delegation_messages
from greengagehaven.transport import http

REPORT_SLACK_S = 0.4
"""Seconds past the caller's deadline for which a report is awaited; an attempt that
was released may last up to 0.3 s past it."""

RELEASE_TIMEOUT_S = 0.5
KEY_BYTES = 4
_MS = 1000.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MergedPart:
    """A part, the response of one shard, that another host merged with other parts.

    :param signature: signature of this part.
    :param report: report with this part; its records are those of all its parts.
    """

    signature: str
    report: delegation_messages.AttemptReport


class Channel(typing.Protocol):
    """Calls to other hosts, with notice of the moment at which a call is sent."""

    async def call(
        self,
        address: str,
        method: str,
        body: bytes,
        *,
        timeout: float,
        on_sending: abc.Callable[[], None] | None = None,
    ) -> bytes:
        """Call a method on the host at ``address`` (``IP:PORT``).

        :param on_sending: called before the first byte of the call is written.
        :raises PeerError: the call failed or timed out.
        """


class Sink(typing.Protocol):
    """Receives the outcomes of delegated attempts."""

    def on_attempt_started(self, attempt: int) -> None:
        """Record that bytes of an attempt may be sent from now on."""

    def on_attempts_reported(self, report: events.AttemptsReported) -> None:
        """Apply the outcomes of attempts that were reported together."""

    def on_helper_ended(self, ended: events.HelperEnded) -> None:
        """Record that a call to another host has ended."""


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class _Call:
    """A call that delegates attempts to another host.

    :param message: the call as it is to be sent.
    :param pending: attempts that have not ended.
    :param task: carries out the call; ``None`` once a byte of it may have been written.
    """

    message: delegation_messages.DelegationRequest
    address: str
    pending: set[int]
    deadline: float
    task: asyncio.Task[None] | None = None


class DelegationClient:
    """Calls to other hosts that send attempts on behalf of this one.

    :param host_id: id of this host.
    :param channel: calls to other hosts.
    :param sink: receives the outcomes of attempts.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        host_id: str,
        channel: Channel,
        sink: Sink,
        clock: clocks.Clock,
    ) -> None:
        # Random: after a restart, numbers repeat while other hosts may hold old calls.
        self._prefix = f"{host_id}:{secrets.token_hex(KEY_BYTES)}"
        self._numbers = itertools.count(1)
        self._channel = channel
        self._sink = sink
        self._clock = clock
        self._calls_by_attempt: dict[int, _Call] = {}
        self._parts_by_attempt: dict[int, MergedPart | None] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self,
        delegate: events.Delegate,
        request: http.Request,
        *,
        request_id: str,
        headers: abc.Iterable[tuple[str, str]],
    ) -> None:
        """Delegate attempts to another host.

        :param headers: headers of the request, as forwarded to upstreams.
        """
        time_left = max(send.time_left for send in delegate.sends)
        message = delegation_messages.DelegationRequest(
            key=f"{self._prefix}:{next(self._numbers)}",
            request_id=request_id,
            method=request.method,
            target=request.target,
            headers=tuple(headers),
            body=request.body,
            attempts=tuple(
                delegation_messages.PlannedAttempt(
                    attempt=send.attempt,
                    upstream_id=send.upstream_id,
                    address=send.address,
                    max_connections=send.connections,
                )
                for send in delegate.sends
            ),
            left_ms=max(1, round(time_left * _MS)),
            report_ms=round(delegate.report_after * _MS),
            top_records=delegate.top_records,
        )
        call = _Call(
            message=message,
            address=delegate.address,
            pending={send.attempt for send in delegate.sends},
            deadline=self._clock.monotonic() + time_left + REPORT_SLACK_S,
        )
        for send in delegate.sends:
            self._calls_by_attempt[send.attempt] = call
            self._parts_by_attempt[send.attempt] = None
        call.task = self._spawn(self._run(call))

    def holds(self, attempt: int) -> bool:
        """Return whether an attempt is delegated and has not ended."""
        return attempt in self._calls_by_attempt

    def release(self, attempts: abc.Iterable[int]) -> None:
        """Tell the other hosts that nobody waits for these attempts any more.

        They are left out of a call that is not sent yet: the caller may have been told
        that its request did not run.
        """
        attempts_by_call: dict[_Call, list[int]] = {}
        for attempt in attempts:
            call = self._calls_by_attempt.get(attempt)
            if call is not None:
                attempts_by_call.setdefault(call, []).append(attempt)
        for call, released in attempts_by_call.items():
            if call.task is None:
                self._spawn(self._release(call, tuple(released)))
            else:
                self._withdraw(call, call.task, released)

    def merged_part(self, attempt: int) -> MergedPart | None:
        """Return the merged part of an attempt, ``None`` if there is none."""
        return self._parts_by_attempt.get(attempt)

    def forget(self, attempt: int) -> None:
        """Discard the merged part of an attempt whose request has ended."""
        self._parts_by_attempt.pop(attempt, None)

    async def close(self) -> None:
        """Cancel the calls in flight."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _spawn(
        self, work: abc.Coroutine[typing.Any, typing.Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _on_sending(self, call: _Call) -> None:
        """Report the attempts as started; bytes of the call may be written from now."""
        if call.task is None:
            return
        call.task = None
        for attempt in sorted(call.pending):
            self._sink.on_attempt_started(attempt)

    def _withdraw(
        self, call: _Call, task: asyncio.Task[None], attempts: abc.Iterable[int]
    ) -> None:
        """Leave attempts out of a call that is not sent yet, and report them."""
        task.cancel()
        ended = [attempt for attempt in attempts if attempt in call.pending]
        for attempt in ended:
            self._remove_attempt(call, attempt)
        if call.pending:
            call.task = self._spawn(self._run(call))
        # Deferred: their ends must not be submitted within a step of the router.
        loop = asyncio.get_running_loop()
        loop.call_soon(self._report_withdrawn, call, ended)

    def _report_withdrawn(self, call: _Call, attempts: abc.Iterable[int]) -> None:
        unsent = events.Failed(fault=events.Fault.UNSENT, detail="withdrawn")
        self._report_failed(attempts, unsent)
        if not call.pending:
            self._sink.on_helper_ended(events.HelperEnded(address=call.address))

    async def _run(self, call: _Call) -> None:
        method = delegation_server.GATHER_METHOD
        planned = tuple(
            each for each in call.message.attempts if each.attempt in call.pending
        )
        message = msgspec.structs.replace(call.message, attempts=planned)
        body = codec.encode_msgpack(message)
        try:
            while True:
                time_left = call.deadline - self._clock.monotonic()
                data = await self._channel.call(
                    call.address,
                    method,
                    body,
                    timeout=max(0.0, time_left),
                    on_sending=lambda: self._on_sending(call),
                )
                report = codec.decode_msgpack(data, delegation_messages.AttemptReport)
                self._apply_report(call, report)
                if report.is_last:
                    break
                method = delegation_server.NEXT_REPORT_METHOD
                body = codec.encode_msgpack(
                    delegation_messages.NextReportRequest(key=call.message.key)
                )
        except (exceptions.PeerError, exceptions.InvalidRequestError) as error:
            self._fail_call(call, method, error)
            return
        self._sink.on_helper_ended(events.HelperEnded(address=call.address))

    def _apply_report(
        self, call: _Call, report: delegation_messages.AttemptReport
    ) -> None:
        ended = [each for each in report.ended if each.attempt in call.pending]
        for each in ended:
            self._remove_attempt(call, each.attempt)
            if each.signature and each.attempt in self._parts_by_attempt:
                self._parts_by_attempt[each.attempt] = MergedPart(
                    signature=each.signature, report=report
                )
        self._sink.on_attempts_reported(
            events.AttemptsReported(
                ended=tuple(_to_event(each) for each in ended),
                straggling=() if report.is_early else tuple(sorted(call.pending)),
            )
        )

    def _fail_call(
        self,
        call: _Call,
        method: str,
        error: exceptions.PeerError | exceptions.InvalidRequestError,
    ) -> None:
        # The host refused the call, or could not be connected to.
        is_unsent = method == delegation_server.GATHER_METHOD and (
            isinstance(error, exceptions.PeerRefusedError)
            or isinstance(error.__cause__, exceptions.ConnectError)
        )
        fault = events.Fault.UNSENT if is_unsent else events.Fault.HELPER
        attempts = sorted(call.pending)
        for attempt in attempts:
            self._remove_attempt(call, attempt)
        self._sink.on_helper_ended(
            events.HelperEnded(address=call.address, failed=error.detail)
        )
        self._report_failed(attempts, events.Failed(fault=fault, detail=error.detail))

    def _report_failed(
        self, attempts: abc.Iterable[int], outcome: events.Failed
    ) -> None:
        """Report the same outcome for several attempts."""
        ended = (
            events.AttemptEnded(attempt=attempt, outcome=outcome)
            for attempt in attempts
        )
        self._sink.on_attempts_reported(events.AttemptsReported(ended=tuple(ended)))

    def _remove_attempt(self, call: _Call, attempt: int) -> None:
        call.pending.discard(attempt)
        self._calls_by_attempt.pop(attempt, None)

    async def _release(self, call: _Call, attempts: tuple[int, ...]) -> None:
        message = delegation_messages.CancelRequest(
            key=call.message.key, attempts=attempts
        )
        try:
            await self._channel.call(
                call.address,
                delegation_server.RELEASE_METHOD,
                codec.encode_msgpack(message),
                timeout=RELEASE_TIMEOUT_S,
            )
        except exceptions.PeerError:
            # The call itself fails as well, which reports the error.
            return


def _to_event(ended: delegation_messages.AttemptResult) -> events.AttemptEnded:
    outcome: events.Replied | events.Failed
    if ended.fault:
        outcome = events.Failed(
            fault=events.Fault(ended.fault),
            detail=ended.detail,
            received_nothing=ended.received_nothing,
            is_first_use=ended.is_first_use,
        )
    else:
        load = None
        if ended.load:
            running, waiting, slots = ended.load
            load = events.Load(
                running=running,
                waiting=waiting,
                slots=slots,
                work_percent=ended.work_percent or None,
            )
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
