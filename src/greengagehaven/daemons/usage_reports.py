"""Reports of teams' usage: an entry host sends them, control hosts add them up."""

import asyncio
import secrets
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import peers
from greengagehaven.coordination.shared_budgets import (
    demand_shares,
    report_forwarding,
    report_sums,
)
from greengagehaven.daemons import wake_timer
from greengagehaven.protocol import codec, usage_caps

REPORT_METHOD = "usage/report"
EXCHANGE_METHOD = "usage/exchange"
PERIOD_S = 0.2
"""Seconds between reports, and between exchanges of control hosts, in general."""

URGENT_PERIOD_S = 0.05
"""Seconds between reports while a team is near its target. With 0.2 s, a team at 200
requests per second exceeds its target by 40 before any host learns of it."""

IDLE_PERIOD_S = 0.5
"""Seconds between reports without requests. Their replies name the teams with many
requests, so that a host that sees the first request of one knows of the others."""

CALL_TIMEOUT_S = 0.3
"""Limit of a call. A report that was lost is replaced by the next one, which holds
totals, so there is no need to wait longer or to retry."""

RUN_ID_BYTES = 6
"""Random bytes of the id of a process's run, which tells restarts apart."""


class UsageReporter:
    """Reports this host's usage to the control host that it follows.

    :param host_id: id of this host.
    :param channel: calls to control hosts.
    :param addresses: returns the peer addresses of the control hosts that are followed.
    :param shares: gives the usage to report, and takes the totals of the replies.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        host_id: str,
        channel: peers.PeerChannel,
        addresses: abc.Callable[[], abc.Iterable[str]],
        shares: demand_shares.DemandShares,
        clock: clocks.Clock,
    ) -> None:
        self._host_id = host_id
        self._channel = channel
        self._addresses = addresses
        self._shares = shares
        self._clock = clock
        self._run_id = secrets.token_hex(RUN_ID_BYTES)
        self._sequence = 0
        self._due = asyncio.Event()
        self._timer = wake_timer.WakeTimer(on_wake=self._due.set, clock=clock)
        self._task: asyncio.Task[None] | None = None
        self._sent_at = float("-inf")

    def set_enabled(self, is_enabled: bool) -> None:
        """Start or stop reporting; it is needed only while a team has a limit."""
        if not is_enabled and self._task is not None:
            self._task.cancel()
            self._task = None
        elif is_enabled and (self._task is None or self._task.done()):
            self._task = asyncio.ensure_future(self._report_forever())

    def on_request(self, team_id: str) -> None:
        """Schedule a report of a request, earlier if the team is near its target."""
        is_near = self._shares.is_near_target(team_id, self._clock.monotonic())
        self._timer.schedule(self._sent_at + (URGENT_PERIOD_S if is_near else PERIOD_S))

    async def close(self) -> None:
        """Stop reporting."""
        self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _report_forever(self) -> None:
        while True:
            self._due.clear()
            self._sent_at = now = self._clock.monotonic()
            near = self._shares.near_target(now)
            usages = self._shares.reports(now)
            await self._report(usages, is_urgent=bool(near))
            period = PERIOD_S if usages else IDLE_PERIOD_S
            self._timer.schedule(self._sent_at + (URGENT_PERIOD_S if near else period))
            await self._due.wait()

    async def _report(
        self, usages: tuple[usage_caps.TeamUsage, ...], *, is_urgent: bool
    ) -> None:
        addresses = sorted(self._addresses())
        if not addresses:
            return
        self._sequence += 1
        report = usage_caps.UsageReport(
            host_id=self._host_id,
            run=self._run_id,
            sequence=self._sequence,
            is_urgent=is_urgent,
            teams=usages,
        )
        try:
            data = await self._channel.call(
                addresses[0],
                REPORT_METHOD,
                codec.encode_msgpack(report),
                timeout=CALL_TIMEOUT_S,
            )
            totals = codec.decode_msgpack(data, usage_caps.UsageTotals)
        except (exceptions.PeerError, exceptions.InvalidRequestError) as error:
            log.debug("usage_report_failed", address=addresses[0], error=error.detail)
            return
        now = self._clock.monotonic()
        if not self._shares.apply_totals(totals, sent_at=self._sent_at, now=now):
            log.debug("usage_totals_unused", address=addresses[0], hosts=totals.hosts)


class UsageAggregator:
    """Adds up the reports of all entry hosts, on a control host.

    It forwards those that it received from entry hosts to the other control hosts.

    :param window: seconds of the usage window.
    :param channel: calls to other control hosts.
    :param addresses: returns the peer addresses of the other control hosts.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        window: float,
        channel: peers.PeerChannel,
        addresses: abc.Callable[[], abc.Iterable[str]],
        clock: clocks.Clock,
    ) -> None:
        self._channel = channel
        self._addresses = addresses
        self._clock = clock
        self._run_id = secrets.token_hex(RUN_ID_BYTES)
        self._sums = report_sums.ReportSums(window=window, started_at=clock.monotonic())
        self._forwarder = report_forwarding.ReportForwarder(window=window)
        self._sent_at = float("-inf")
        self._timer = wake_timer.WakeTimer(on_wake=self._exchange, clock=clock)
        self._tasks_by_address: dict[str, asyncio.Task[None]] = {}

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return the handler of each method."""
        return {
            REPORT_METHOD: self.handle_report,
            EXCHANGE_METHOD: self.handle_exchange,
        }

    @property
    def host_count(self) -> int:
        """Return the number of entry hosts whose usage is counted."""
        return self._sums.host_count

    async def handle_report(self, body: bytes) -> bytes:
        """Record a report of an entry host; return the usage at the others."""
        report = codec.decode_msgpack(body, usage_caps.UsageReport)
        now = self._clock.monotonic()
        if self._sums.add(report, now):
            self._forwarder.set_addresses(self._addresses())
            self._forwarder.add(report, now)
            period = URGENT_PERIOD_S if report.is_urgent else PERIOD_S
            self._timer.schedule(self._sent_at + period)
        return codec.encode_msgpack(self._sums.totals_for(report, now))

    async def handle_exchange(self, body: bytes) -> bytes:
        """Record reports that another control host received."""
        exchange = codec.decode_msgpack(body, usage_caps.UsageExchange)
        now = self._clock.monotonic()
        for report in exchange.reports:
            self._sums.add(report, now)
        self._timer.schedule(self._sent_at + PERIOD_S)
        return codec.encode_msgpack(usage_caps.UsageExchanged(run=self._run_id))

    async def close(self) -> None:
        """Stop forwarding."""
        self._timer.cancel()
        tasks = list(self._tasks_by_address.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _exchange(self) -> None:
        """Forward new reports, and schedule the next time unless no report is held."""
        self._sent_at = now = self._clock.monotonic()
        self._sums.expire(now)
        self._forwarder.expire(now)
        addresses = tuple(self._addresses())
        self._forwarder.set_addresses(addresses)
        for address in addresses:
            task = self._tasks_by_address.get(address)
            if task is None or task.done():
                self._send(address)
        if self._sums.host_count or self._forwarder.has_unsent:
            self._timer.schedule(now + PERIOD_S)

    def _send(self, address: str) -> None:
        reports = self._forwarder.take(address)
        if reports:
            task = asyncio.ensure_future(self._forward(address, reports))
            self._tasks_by_address[address] = task

    async def _forward(
        self, address: str, reports: tuple[usage_caps.UsageReport, ...]
    ) -> None:
        message = usage_caps.UsageExchange(reports=reports)
        try:
            data = await self._channel.call(
                address,
                EXCHANGE_METHOD,
                codec.encode_msgpack(message),
                timeout=CALL_TIMEOUT_S,
            )
            reply = codec.decode_msgpack(data, usage_caps.UsageExchanged)
        except (exceptions.PeerError, exceptions.InvalidRequestError) as error:
            log.debug("usage_exchange_failed", address=address, error=error.detail)
            self._forwarder.restore(address, reports)
            return
        self._forwarder.record_reply(address, reply.run)
