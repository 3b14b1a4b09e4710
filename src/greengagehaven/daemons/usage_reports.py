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
    report_schedule,
    report_sums,
    substitute_sums,
)
from greengagehaven.daemons import wake_timer
from greengagehaven.protocol import codec, usage_caps

REPORT_METHOD = "usage/report"
RELAYED_METHOD = "usage/relayed_report"
SUBSTITUTE_METHOD = "usage/substitute_report"
EXCHANGE_METHOD = "usage/exchange"

RELAY_TIMEOUT_S = 0.15
"""Limit of a call that relays a report; the host that waits for it gives up after twice
as long."""

RUN_ID_BYTES = 6
"""Random bytes of the id of a process's run, which tells restarts apart."""


class UsageReporter:
    """Reports this host's usage to the control host that it follows.

    :param host_id: id of this host.
    :param channel: calls to control hosts.
    :param followed: returns the peer addresses of the control hosts that are followed.
    :param known: returns the peer addresses of all known control hosts.
    :param shares: gives the usage to report, and takes the totals of the replies.
    :param clock: monotonic time.
    :param address: peer address of this host, empty if there is none.

    ``on_totals`` is called after a usable reply, with the time at which its report was
    sent.
    """

    def __init__(
        self,
        *,
        host_id: str,
        channel: peers.PeerChannel,
        followed: abc.Callable[[], abc.Iterable[str]],
        known: abc.Callable[[], abc.Iterable[str]],
        shares: demand_shares.DemandShares,
        clock: clocks.Clock,
        address: str = "",
    ) -> None:
        self.on_totals: abc.Callable[[float], None] = lambda sent_at: None
        self._host_id = host_id
        self._channel = channel
        self._followed = followed
        self._known = known
        self._shares = shares
        self._clock = clock
        self._run_id = secrets.token_hex(RUN_ID_BYTES)
        self._sequence = 0
        self._schedule = report_schedule.ReportSchedule()
        self._timer = wake_timer.WakeTimer(on_wake=self._on_wake, clock=clock)
        self._is_enabled = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._transit = 0.0
        self._address = address
        self._is_without_controls = False
        self._substitute_sums = substitute_sums.SubstituteSums(
            window=shares.caps.window
        )

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return the handler of each method that other entry hosts call."""
        return {SUBSTITUTE_METHOD: self.handle_substitute_report}

    async def handle_substitute_report(self, body: bytes) -> bytes:
        """Return the usage at other hosts, for a host that no control host answers.

        Its report is passed on to a control host if one answers this host.
        """
        report = codec.decode_msgpack(body, usage_caps.UsageReport)
        now = self._clock.monotonic()
        control = self._schedule.answering_control(sorted(self._followed()), now)
        if control and not self._schedule.is_without_controls(now):
            try:
                return await self._channel.call(
                    control, RELAYED_METHOD, body, timeout=RELAY_TIMEOUT_S
                )
            except exceptions.PeerError as error:
                log.debug("usage_relay_failed", error=error.detail)
        totals = self._substitute_sums.add(report, self._clock.monotonic())
        return codec.encode_msgpack(totals)

    def set_enabled(self, is_enabled: bool) -> None:
        """Start or stop reporting; it is needed only while a team has a limit."""
        if is_enabled and not self._is_enabled:
            self._timer.schedule(self._clock.monotonic())
        elif not is_enabled:
            self._timer.cancel()
        self._is_enabled = is_enabled

    def on_request(self, team_id: str) -> None:
        """Schedule a report of a request, earlier if the team is near its target."""
        if not self._is_enabled:
            return
        is_near = self._shares.is_near_target(team_id, self._clock.monotonic())
        self._schedule.on_request(is_near_target=is_near)
        self._timer.schedule(self._schedule.wake_at)

    def on_wait(self) -> None:
        """Send a report at once, as a request waits for its reply."""
        self._schedule.on_wait(self._clock.monotonic())
        self._timer.schedule(self._schedule.wake_at)

    async def close(self) -> None:
        """Stop reporting."""
        self.set_enabled(False)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_wake(self) -> None:
        now = self._clock.monotonic()
        if self._schedule.is_due(now):
            self._send(now)
        self._timer.schedule(self._schedule.wake_at)

    def _send(self, now: float) -> None:
        """Send a report without waiting for the replies to earlier ones."""
        followed = sorted(self._followed())
        others = sorted(set(self._known()).difference(followed))
        targets = self._schedule.targets(followed, others, now)
        is_urgent = bool(self._shares.near_target(now))
        self._sequence += 1
        report = usage_caps.UsageReport(
            host_id=self._host_id,
            run=self._run_id,
            sequence=self._sequence,
            is_urgent=is_urgent,
            teams=self._shares.reports(now),
            known_hosts=self._shares.known_hosts,
            age_ms=round(1000 * self._transit),
            address=self._address,
        )
        self._schedule.on_sent(
            now, has_usage=bool(report.teams), is_near_target=is_urgent
        )
        body = codec.encode_msgpack(report)
        for address in targets:
            self._start_report(address, REPORT_METHOD, body, now)
        self._log_contact(now)
        for address in self._schedule.substitutes_due(now):
            if address == self._address:
                totals = self._substitute_sums.add(report, now)
                self._apply(totals, sent_at=now, substitute=address)
            else:
                self._start_report(address, SUBSTITUTE_METHOD, body, now)

    def _log_contact(self, now: float) -> None:
        is_without = self._schedule.is_without_controls(now)
        if is_without and not self._is_without_controls:
            hosts = ",".join(self._schedule.substitutes)
            log.info("usage_substitutes_asked", hosts=hosts)
        elif self._is_without_controls and not is_without:
            log.info("usage_controls_answer")
        self._is_without_controls = is_without

    def _start_report(
        self, address: str, method: str, body: bytes, sent_at: float
    ) -> None:
        task = asyncio.ensure_future(self._report(address, method, body, sent_at))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report(
        self, address: str, method: str, body: bytes, sent_at: float
    ) -> None:
        try:
            data = await self._channel.call(
                address, method, body, timeout=report_schedule.CALL_TIMEOUT_S
            )
            totals = codec.decode_msgpack(data, usage_caps.UsageTotals)
        except (exceptions.PeerError, exceptions.InvalidRequestError) as error:
            log.debug("usage_report_failed", address=address, error=error.detail)
            return
        if method == SUBSTITUTE_METHOD:
            self._apply(totals, sent_at=sent_at, substitute=address)
        else:
            now = self._clock.monotonic()
            self._transit = (now - sent_at) / 2
            self._schedule.record_unreachable(address, totals.unreachable, now)
            if totals.is_settled:
                self._schedule.substitutes = totals.substitutes
            self._apply(totals, sent_at=sent_at, control=address)

    def _apply(
        self,
        totals: usage_caps.UsageTotals,
        *,
        sent_at: float,
        control: str = "",
        substitute: str = "",
    ) -> None:
        now = self._clock.monotonic()
        if self._shares.apply_totals(totals, sent_at=sent_at, now=now):
            self._schedule.on_reply(sent_at, control=control, substitute=substitute)
            self.on_totals(sent_at)
        else:
            log.debug("usage_totals_unused", hosts=totals.hosts)


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
        self._tasks: set[asyncio.Task[None]] = set()
        self._transit_by_address: dict[str, float] = {}
        self._unreachable: tuple[str, ...] = ()

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return the handler of each method that needs no connection."""
        return {
            EXCHANGE_METHOD: self.handle_exchange,
            RELAYED_METHOD: self.handle_relayed_report,
        }

    @property
    def connection_handlers_by_method(self) -> dict[str, peers.ConnectionHandler]:
        """Return the handler of each method that gets the caller's connection."""
        return {REPORT_METHOD: self.handle_report}

    @property
    def host_count(self) -> int:
        """Return the number of entry hosts whose usage is counted."""
        return self._sums.host_count

    def on_connection_closed(self, connection: str) -> None:
        """Handle the end of a connection that its caller closed.

        :param connection: ``IP:PORT`` of the caller.
        """
        now = self._clock.monotonic()
        report = self._forwarder.end(connection, now)
        if report is None:
            return
        log.info(
            "usage_host_ended",
            host=report.host_id,
            run=report.run,
            teams=len(report.teams),
            report_age_ms=report.age_ms,
        )
        self._sums.add(report, now, has_ended=True)
        self._timer.schedule(self._sent_at + report_schedule.URGENT_PERIOD_S)

    async def handle_report(self, body: bytes, connection: str) -> bytes:
        """Record a report of an entry host; return the usage at the others.

        :param connection: ``IP:PORT`` of the caller.
        """
        report = codec.decode_msgpack(body, usage_caps.UsageReport)
        now = self._clock.monotonic()
        if self._sums.add(report, now):
            self._forwarder.set_addresses(self._addresses())
            self._forwarder.add(report, now, connection=connection)
            period = (
                report_schedule.URGENT_PERIOD_S
                if report.is_urgent
                else report_schedule.PERIOD_S
            )
            self._timer.schedule(self._sent_at + period)
        totals = self._sums.totals_for(report, now, unreachable=self._unreachable)
        return codec.encode_msgpack(totals)

    async def handle_relayed_report(self, body: bytes) -> bytes:
        """Record a report that another entry host passed on.

        The end of that host's connection says nothing about the one that reported.
        """
        return await self.handle_report(body, "")

    async def handle_exchange(self, body: bytes) -> bytes:
        """Record reports that another control host received."""
        exchange = codec.decode_msgpack(body, usage_caps.UsageExchange)
        self._sums.add_exchange(exchange, self._clock.monotonic())
        self._timer.schedule(self._sent_at + report_schedule.PERIOD_S)
        return codec.encode_msgpack(usage_caps.UsageExchanged(run=self._run_id))

    async def close(self) -> None:
        """Stop forwarding."""
        self._timer.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _exchange(self) -> None:
        """Forward new reports, and schedule the next time unless no report is held.

        Calls in flight are not waited for: later reports replace those that are lost.
        """
        self._sent_at = now = self._clock.monotonic()
        self._sums.expire(now, has_lost_controls=bool(self._forwarder.unreachable))
        self._forwarder.expire(now)
        addresses = tuple(self._addresses())
        self._forwarder.set_addresses(addresses)
        for address in addresses:
            directs = self._forwarder.take(address)
            if directs:
                task = asyncio.ensure_future(self._forward(address, directs, now))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        if self._sums.host_count or self._forwarder.has_unsent:
            self._timer.schedule(now + report_schedule.PERIOD_S)

    async def _forward(
        self,
        address: str,
        directs: tuple[report_forwarding.DirectReport, ...],
        sent_at: float,
    ) -> None:
        arrival = sent_at + self._transit_by_address.get(address, 0.0)
        message = report_forwarding.make_exchange(directs, arrival)
        try:
            data = await self._channel.call(
                address,
                EXCHANGE_METHOD,
                codec.encode_msgpack(message),
                timeout=report_schedule.CALL_TIMEOUT_S,
            )
            reply = codec.decode_msgpack(data, usage_caps.UsageExchanged)
        except (exceptions.PeerError, exceptions.InvalidRequestError) as error:
            log.debug("usage_exchange_failed", address=address, error=error.detail)
            self._forwarder.restore(address, directs)
            self._update_unreachable()
            return
        self._transit_by_address[address] = (self._clock.monotonic() - sent_at) / 2
        self._forwarder.record_reply(address, reply.run)
        self._update_unreachable()

    def _update_unreachable(self) -> None:
        unreachable = self._forwarder.unreachable
        if unreachable != self._unreachable:
            log.info("usage_exchange_unreachable", controls=",".join(unreachable))
            self._unreachable = unreachable
