"""Asks some shards of a sweep for another entry host, and reports what came."""

import asyncio
import contextlib
import dataclasses
import itertools

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import peers
from greengagehaven.coordination.routing import delegation, events, hedging, merging
from greengagehaven.protocol import codec, gathering
from greengagehaven.transport import exchanges, request_head

GATHER_METHOD = "gather/ask"
REST_METHOD = "gather/rest"
RELEASE_METHOD = "gather/release"

MAX_GATHERS = 1024
"""Others are told to ask themselves beyond that; a second of work at the most."""

KEPT_S = 0.5
"""Seconds that a gather is kept after its callers' time, for who asks for the rest."""

_MS = 1000.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Take:
    """How an attempt ended, and its exchange."""

    attempt: int
    took: float
    exchange: exchanges.Exchange
    outcome: events.Replied | events.Failed


class _Gather:
    """Attempts of one call.

    :param request: the call.
    :param signature_name: of the header that signs a part.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        request: gathering.GatherRequest,
        signature_name: str,
        clock: clocks.Clock,
    ) -> None:
        self.request = request
        self._signature_name = signature_name
        self.head = request_head.RequestHead(
            method=request.method,
            target=request.target,
            headers=request.headers,
            body_size=len(request.body),
        )
        self.exchanges_by_attempt: dict[int, exchanges.Exchange] = {}
        self.released: set[int] = set()
        self.started_at = clock.monotonic()
        self._clock = clock
        self._took_at = self.started_at
        self._left = len(request.asks)
        self._ready: list[_Take] = []
        self._news = asyncio.Event()
        self._is_due = False
        self._has_failure = False
        # Set once all is in, or once something failed that is not reported yet.
        self._decisive = asyncio.Event()

    @property
    def is_over(self) -> bool:
        """Tell whether all attempts have ended and were reported."""
        return not self._left and not self._ready

    def take(
        self,
        attempt: int,
        exchange: exchanges.Exchange,
        outcome: events.Replied | events.Failed,
    ) -> None:
        """Note how an attempt ended."""
        self._took_at = self._clock.monotonic()
        took = self._took_at - self.started_at
        self._ready.append(
            _Take(attempt=attempt, took=took, exchange=exchange, outcome=outcome)
        )
        self._left -= 1
        self._news.set()
        is_success = isinstance(outcome, events.Replied) and outcome.is_success
        if not is_success and attempt not in self.released:
            self._has_failure = True
        if self._has_failure or not self._left:
            self._decisive.set()

    async def report(self) -> gathering.Report:
        """Return what came since the last report.

        Until a shard would be hedged it waits for all of them, but a failure is told
        at once: its shard has to be asked again in the same time as others.
        """
        if self._is_due:
            await self._news.wait()
            if self._left:
                await asyncio.sleep(delegation.TOGETHER_S)
            return self._report(is_early=False)
        while self._left and not self._has_failure:
            until = hedging.report_at(
                started_at=self.started_at,
                replied_at=self._took_at,
                after=self.request.report_ms / _MS,
            )
            wait = until - self._clock.monotonic()
            if wait <= 0:
                self._is_due = True
                return self._report(is_early=False)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self._decisive.wait()
        if self._left:
            await asyncio.sleep(delegation.TOGETHER_S)
        return self._report(is_early=bool(self._left))

    def _report(self, *, is_early: bool) -> gathering.Report:
        takes, self._ready = self._ready, []
        self._news.clear()
        self._decisive.clear()
        self._has_failure = False
        parts = [take for take in takes if self._is_part(take)]
        bodies = (
            take.exchange.reply.body
            for take in parts
            if take.exchange.reply is not None
        )
        return gathering.Report(
            ended=tuple(self._ended(take, is_part=take in parts) for take in takes),
            records=merging.greatest_records(bodies, self.request.top_records),
            is_last=not self._left,
            is_early=is_early,
        )

    def _is_part(self, take: _Take) -> bool:
        outcome = take.outcome
        is_success = isinstance(outcome, events.Replied) and outcome.is_success
        return is_success and take.attempt not in self.released

    def _signature_of(self, take: _Take) -> str:
        reply = take.exchange.reply
        return "" if reply is None else reply.headers[self._signature_name]

    def _ended(self, take: _Take, *, is_part: bool) -> gathering.Ended:
        outcome, took_ms = take.outcome, round(take.took * _MS, 3)
        if isinstance(outcome, events.Failed):
            return gathering.Ended(
                attempt=take.attempt,
                took_ms=took_ms,
                fault=str(outcome.fault),
                detail=outcome.detail,
                is_mute=outcome.is_mute,
                is_fresh=outcome.is_fresh,
            )
        load = outcome.load
        return gathering.Ended(
            attempt=take.attempt,
            took_ms=took_ms,
            status=outcome.status,
            is_success=outcome.is_success,
            not_run=outcome.not_run,
            signature=self._signature_of(take) if is_part else "",
            load=() if load is None else (load.running, load.waiting, load.slots),
            size=outcome.size,
        )


class Gatherer:
    """Takes calls of the other entry hosts of the zone.

    It decides nothing: which upstream is asked, whether it is hedged and when nobody
    waits any more is up to the host that has the caller.

    :param channel: connections to upstreams, which own requests use too.
    :param clock: source of time.
    """

    def __init__(
        self, *, channel: exchanges.ExchangeChannel, clock: clocks.Clock
    ) -> None:
        self.is_stopping = False
        self._channel = channel
        self._clock = clock
        # Below 0, since own attempts count up from 1 on the same channel.
        self._numbers = itertools.count(-1, -1)
        self._gathers_by_key: dict[str, _Gather] = {}

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return what answers each call."""
        return {
            GATHER_METHOD: self.handle_gather,
            REST_METHOD: self.handle_rest,
            RELEASE_METHOD: self.handle_release,
        }

    @property
    def in_flight(self) -> int:
        """Return how many calls have attempts that were not reported."""
        return len(self._gathers_by_key)

    async def handle_gather(self, body: bytes) -> bytes:
        """Send the attempts and answer with what is in after a while.

        :raises OverloadedError: this host is stopping or has too many; nothing
            was sent.
        """
        request = codec.decode_msgpack(body, gathering.GatherRequest)
        if self.is_stopping or len(self._gathers_by_key) >= MAX_GATHERS:
            raise exceptions.OverloadedError("no further attempts are taken")
        gather = _Gather(
            request=request,
            signature_name=self._channel.names.signature,
            clock=self._clock,
        )
        self._gathers_by_key[request.key] = gather
        kept = request.left_ms / _MS + KEPT_S
        asyncio.get_running_loop().call_later(kept, self._expire, request.key)
        for ask in request.asks:
            self._send(gather, ask)
        return self._answer(gather, await gather.report())

    async def handle_rest(self, body: bytes) -> bytes:
        """Answer with what came since the last report, once something has.

        :raises NotFoundError: nothing is known of such a call.
        """
        request = codec.decode_msgpack(body, gathering.RestRequest)
        gather = self._gathers_by_key.get(request.key)
        if gather is None:
            raise exceptions.NotFoundError("no attempts under this key")
        return self._answer(gather, await gather.report())

    async def handle_release(self, body: bytes) -> bytes:
        """Note that nobody waits for some attempts."""
        request = codec.decode_msgpack(body, gathering.ReleaseRequest)
        gather = self._gathers_by_key.get(request.key)
        if gather is not None:
            self._release(gather, request.attempts)
        return b""

    def _send(self, gather: _Gather, ask: gathering.Ask) -> None:
        request = gather.request

        def on_end(
            exchange: exchanges.Exchange, outcome: events.Replied | events.Failed
        ) -> None:
            gather.take(ask.attempt, exchange, outcome)

        exchange = exchanges.Exchange(
            attempt=next(self._numbers),
            address=ask.address,
            request_id=request.request_id,
            head=gather.head,
            upstream_id=ask.upstream_id,
            body=request.body,
            send_by=gather.started_at + request.left_ms / _MS,
            on_start=lambda exchange: None,
            on_end=on_end,
        )
        gather.exchanges_by_attempt[ask.attempt] = exchange
        self._channel.send(exchange, connections=ask.connections)

    def _answer(self, gather: _Gather, report: gathering.Report) -> bytes:
        if gather.is_over:
            self._gathers_by_key.pop(gather.request.key, None)
        return codec.encode_msgpack(report)

    def _release(self, gather: _Gather, attempts: tuple[int, ...]) -> None:
        gather.released.update(attempts)
        for attempt in attempts:
            exchange = gather.exchanges_by_attempt.get(attempt)
            if exchange is not None:
                self._channel.release(exchange.attempt, may_cut=True)

    def _expire(self, key: str) -> None:
        """Forget a call whose host never asked for the rest; it may be gone."""
        gather = self._gathers_by_key.pop(key, None)
        if gather is not None:
            log.info("gather_expired", key=key, request=gather.request.request_id)
            self._release(gather, tuple(gather.exchanges_by_attempt))
