"""An entry host that routes requests to upstreams: input and output of the router."""

import asyncio
import datetime
import functools
import itertools
import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven import rng as rngs
from greengagehaven import settings as settings_module
from greengagehaven.coordination import control_host_selection
from greengagehaven.coordination.routing import events, router
from greengagehaven.daemons import (
    attempt_starter,
    caller_requests,
    delegation_client,
    delegation_server,
    exposition,
    gateway_metrics,
    gateway_settings,
    lender,
    rollout_reports,
    stop_report,
    usage_reports,
    wake_timer,
    watcher,
)
from greengagehaven.protocol import header_names as names_module
from greengagehaven.protocol import watching
from greengagehaven.state import configuration, rollouts, routes
from greengagehaven.transport import (
    client_connection,
    exchanges,
    http,
    http_peers,
    http_server,
)

ACCEPT_WHILE_STOPPING = datetime.timedelta(seconds=3.2)
"""Time from the stop signal in which new connections are still accepted."""

ANSWER_MARGIN = datetime.timedelta(seconds=0.8)
"""Time before the end of the grace period by which all requests are answered."""

CLOSE_MARGIN = datetime.timedelta(seconds=0.6)
"""Part of the grace period for the last answers of the drain, closing and exiting."""

DocumentParser = abc.Callable[[bytes], routes.RoutingTable]


class Gateway:
    """Accepts requests of callers and routes them to upstreams.

    :param settings: addresses, zone and options of this host.
    :param names: names of the HTTP headers.
    :param parse_document: parses the document in force into a routing table.
    :param clock: source of time.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        *,
        settings: gateway_settings.GatewaySettings,
        names: names_module.HeaderNames,
        parse_document: DocumentParser,
        clock: clocks.Clock,
        rng: rngs.Rng,
    ) -> None:
        self._settings = settings
        self._names = names
        self._parse_document = parse_document
        self._clock = clock
        self._router = router.Router(options=settings.router, clock=clock, rng=rng)
        self._channel = exchanges.ExchangeChannel(names=names, clock=clock)
        self._client = http_peers.HttpPeerClient(clock=clock)
        self._watcher = self._make_watcher(rng)
        self._rollout_reporter = rollout_reports.Reporter(
            host_id=settings.host_id,
            channel=self._client,
            addresses=lambda: self._watcher.followed,
            collect=self._router.rollout_reports,
            on_acknowledged=self._on_reports_acknowledged,
            clock=clock,
        )
        self._usage_reporter = reporter = self._make_usage_reporter()
        self._delegation_server = delegation_server.DelegationServer(
            channel=self._channel,
            may_send=lambda team: self._router.key_guard.may_send(team, "delegated"),
            clock=clock,
        )
        self._lender = lender.Lender(
            channel=self._client,
            lend=self._router.lend,
            on_loan=self._submit,
            clock=clock,
        )
        self._peer_server = http_peers.HttpPeerServer(
            handlers_by_method={
                **self._delegation_server.handlers_by_method,
                **self._lender.handlers_by_method,
                **self._watcher.recovery.handlers_by_method,
                **(reporter.handlers_by_method if reporter else {}),
            },
            clock=clock,
        )
        self._delegation_client = delegation_client.DelegationClient(
            host_id=settings.host_id, channel=self._client, sink=self, clock=clock
        )
        self._numbers = itertools.count(1)
        self._requests_by_number: dict[int, caller_requests.CallerRequest] = {}
        self._exchanges_by_attempt: dict[int, exchanges.Exchange] = {}
        self._starter = attempt_starter.AttemptStarter(channel=self._channel)
        self._wake_timer = wake_timer.WakeTimer(on_wake=self._on_wake, clock=clock)
        self._is_stopping = False
        self.has_refused_settings = False
        self._revision = 0
        self._metrics = exposition.MetricsServer(registry=self._make_registry)
        self._server = http_server.HttpServer(
            handler=self._handle, clock=clock, id_header=names.request_id
        )
        self._ready_server = http_server.HttpServer(
            handler=self._handle_ready, clock=clock
        )

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._server.unanswered_count

    @property
    def followed(self) -> frozenset[str]:
        """Return the peer addresses of the control hosts that this host follows."""
        return self._watcher.followed

    async def start(self) -> None:
        """Start listening and watching control hosts.

        :raises SettingError: an address cannot be bound.
        """
        settings = self._settings
        for name, address, server in (
            ("listen", settings.listen, self._server),
            ("ready listen", settings.ready_listen, self._ready_server),
            ("metrics", settings.metrics_listen, self._metrics),
            ("peer listen", settings.peer_listen, self._peer_server),
        ):
            if address is not None:
                await server.start(*settings_module.parse_address(name, address))
        self._watcher.start()

    def set_control_addresses(self, addresses: abc.Iterable[str]) -> None:
        """Watch these control hosts as well."""
        self._watcher.set_seeds(addresses)

    async def drain(self) -> int:
        """Finish the requests in flight and those that still arrive, then stop."""
        self._is_stopping = True
        self._delegation_server.is_stopping = True
        now, grace = self._clock.monotonic(), self._settings.grace
        answer_by = now + (grace - ANSWER_MARGIN).total_seconds()
        self._submit(events.Stopping(answer_by=answer_by))
        cut_off_count, _ = await asyncio.gather(
            self._server.drain(grace - CLOSE_MARGIN, accept_for=ACCEPT_WHILE_STOPPING),
            self._finish_delegated(grace - CLOSE_MARGIN),
        )
        await self.close()
        return cut_off_count

    async def _finish_delegated(self, timeout: datetime.timedelta) -> None:
        """Wait until the attempts for other hosts have ended and were reported."""
        end = self._clock.monotonic() + timeout.total_seconds()
        await self._delegation_server.wait_idle(timeout)
        remaining = max(0.0, end - self._clock.monotonic())
        await self._peer_server.drain(datetime.timedelta(seconds=remaining))

    async def close(self) -> None:
        """Stop and close the sockets."""
        await self._rollout_reporter.close()
        if self._usage_reporter is not None:
            await self._usage_reporter.close()
        await self._watcher.close()
        stop_report.log_requests_in_flight(
            self._router.requests, now=self._clock.monotonic()
        )
        await self._server.close()
        await self._ready_server.close()
        await self._metrics.close()
        await self._peer_server.stop(datetime.timedelta())
        await self._delegation_client.close()
        await self._lender.close()
        await self._channel.close()
        await self._client.close()

    def on_upstream_entries(self, entries: tuple[watching.UpstreamEntry, ...]) -> None:
        """Submit changed entries of upstreams."""
        self._submit(events.UpstreamsChanged(entries=entries))

    def on_configuration(self, state: configuration.ConfigurationState) -> None:
        """Put a newer configuration in force."""
        self._submit(events.ZonesDrained(zones=frozenset(state.drained_zones)))
        self._submit(events.RolloutsChanged(rollouts=state.rollouts))
        self._rollout_reporter.set_running(rollouts.running(state.rollouts))
        number = 0
        if state.document:
            try:
                table = self._parse_document(state.document)
            except exceptions.DocumentError as error:
                # Control hosts refuse invalid documents, so this happens only if
                # they run a newer version than this host.
                log.error(
                    "document_refused", revision=state.revision, error=error.detail
                )
                return
            number = table.number
            self._server.limits = caller_requests.server_limits(table.caller_limits)
            self._submit(events.RoutingTableChanged(table=table))
            if self._usage_reporter is not None:
                has_limit = any(t.rate for t in table.teams.teams_by_id.values())
                self._usage_reporter.set_enabled(has_limit)
        self._revision = state.revision
        log.info(
            "configuration_in_force",
            revision=state.revision,
            number=number,
            drained=",".join(state.drained_zones),
            rollouts=",".join(
                f"{each.service}:{each.version}:{each.phase}"
                for each in rollouts.running(state.rollouts)
            ),
        )

    def on_configuration_confirmed(self, revision: int, confirmed_at: float) -> None:
        """Submit that a revision was confirmed, unless an older one is in force."""
        if revision <= self._revision:
            self._submit(events.ConfigurationConfirmed(confirmed_at=confirmed_at))

    def on_entry_host_count(self, count: int) -> None:
        """Submit the number of entry hosts."""
        self._submit(events.HostCountChanged(count=count))

    def on_crashes(self, crashes: tuple[watching.Crash, ...]) -> None:
        """Submit crashes that other entry hosts reported."""
        self._submit(events.CrashesReported(crashes=crashes))

    def on_outliers(self, outliers: tuple[watching.Outlier, ...]) -> None:
        """Submit upstreams that several entry hosts found slow or faulty."""
        log.info("outliers_reported", count=len(outliers))
        self._submit(events.OutliersReported(outliers=outliers))

    def on_entry_hosts(self, hosts: tuple[watching.HostEntry, ...]) -> None:
        """Submit the entry hosts of this zone, and some of each other zone."""
        remote = sum(bool(host.availability_zone) for host in hosts)
        log.info("entry_hosts", zone=len(hosts) - remote, remote=remote)
        self._submit(events.EntryHostsChanged(hosts=hosts))

    def on_attempt_started(self, attempt: int) -> None:
        """Submit that bytes of a delegated attempt may be sent from now on."""
        self._submit(events.AttemptStarted(attempt=attempt))

    def on_attempts_reported(self, report: events.AttemptsReported) -> None:
        """Submit the outcomes of delegated attempts that were reported together."""
        self._submit(report)

    def on_helper_ended(self, ended: events.HelperEnded) -> None:
        """Submit that a call to another host has ended."""
        self._submit(ended)

    def _on_reports_acknowledged(self, is_acknowledged: bool) -> None:
        self._submit(events.RolloutReportsAcknowledged(is_acknowledged=is_acknowledged))

    @property
    def _is_cut_off(self) -> bool:
        """Return whether other entry hosts serve callers better than this one."""
        return self._router.is_cut_off or self._watcher.contact.is_isolated

    def _make_watcher(self, rng: rngs.Rng) -> watcher.Watcher:
        return watcher.Watcher(
            channel=self._client,
            host_id=self._settings.host_id,
            availability_zone=self._settings.zone,
            is_entry=True,
            control_addresses=self._settings.control_addresses,
            delegation_address=self._settings.peer_listen or "",
            control_host_selector=control_host_selection.SameZoneControlHost(
                zone=self._settings.zone, clock=self._clock
            ),
            confirmation_period=lambda: self._router.key_guard.renewal_period,
            sink=self,
            clock=self._clock,
            rng=rng,
        )

    def _make_usage_reporter(self) -> usage_reports.UsageReporter | None:
        limit = self._router.usage_limit
        if limit is None:
            return None
        reporter = usage_reports.UsageReporter(
            host_id=self._settings.host_id,
            channel=self._client,
            followed=lambda: self._watcher.followed,
            known=lambda: self._watcher.known_control_addresses,
            shares=limit.shares,
            clock=self._clock,
            address=self._settings.peer_listen or "",
        )
        limit.on_request, limit.on_wait = reporter.on_request, reporter.on_wait
        reporter.on_totals = lambda sent_at: self._submit(
            events.UsageTotalsReceived(sent_at=sent_at)
        )
        return reporter

    def _make_registry(self) -> typing.Any:
        return gateway_metrics.make_registry(
            router=self._router,
            delegations=self._delegation_server,
            channel=self._channel,
            client=self._client,
            server=self._server,
            contact=self._watcher.contact,
            revision=lambda: self._revision,
            has_refused_settings=lambda: self.has_refused_settings,
        )

    async def _handle_ready(self, request: http.Request) -> http.Response:
        if request.path != self._settings.ready_path:
            raise exceptions.NotFoundError("no such path")
        should_yield = self._is_cut_off or self._router.key_guard.is_missing
        is_configured = self._router.table is not None
        is_ready = is_configured and not (self._is_stopping or should_yield)
        return http.Response(status=200 if is_ready else 503, content_type=None)

    async def _handle(self, request: http.Request) -> http.Response:
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        caller_request = caller_requests.CallerRequest(
            request=request, future=future, names=self._names
        )
        self._requests_by_number[number] = caller_request
        arrived = events.RequestArrived(
            number=number,
            request_id=caller_request.request_id or f"local-{number}",
            host=caller_requests.host_of(request),
            path=request.target,
            fingerprint=caller_requests.fingerprint_of(request),
            time_left=caller_requests.parse_time_left(
                request.headers.get(self._names.time_left)
            ),
            key_digest=caller_requests.key_digest_of(request, self._names.key),
            age=caller_requests.age_of(request, self._clock),
        )
        try:
            self._submit(arrived)
            return await future
        except asyncio.CancelledError:
            self._submit(events.RequestAbandoned(number=number))
            raise
        finally:
            del self._requests_by_number[number]
            for attempt in caller_request.attempts:
                self._exchanges_by_attempt.pop(attempt, None)
                self._delegation_client.forget(attempt)

    def _submit(self, event: events.Event) -> None:
        for action in self._router.step(event):
            self._carry_out(action)
        # Failing readiness checks keep new connections away, but callers go on using
        # the open ones, so each response closes its connection.
        self._server.close_after_response = self._is_cut_off

    def _carry_out(self, action: events.Action) -> None:
        match action:
            case events.Send():
                self._send(action)
            case events.Delegate():
                self._delegate(action)
            case events.ReleaseAttempts(attempts=attempts, may_cancel=may_cancel):
                self._delegation_client.release(attempts)
                for attempt in attempts:
                    if not self._delegation_client.holds(attempt):
                        self._release(attempt, may_cancel=may_cancel)
            case events.ForwardReply(number=number, attempt=attempt):
                response = caller_requests.forwarded_response(self._reply(attempt))
                self._respond(number, response)
            case events.AnswerParts():
                self._respond(action.number, self._merged_response(action))
            case events.Refuse(number=number, error=error):
                self._respond(number, caller_requests.error_response(error))
            case events.CloseUpstreamConnections(address=address):
                self._channel.retire_connections(address)
            case events.CheckListener():
                self._check_listener(action)
            case events.ProbeUpstream():
                self._probe(action)
            case events.ReportOutlier(outlier=outlier):
                self._watcher.reporter.report_outlier(outlier)
            case events.RequestLoan():
                self._lender.borrow(action)
            case events.ReportCrash(crash=crash):
                self._watcher.reporter.report_crash(crash)
            case events.WakeAt(moment=moment):
                self._wake_timer.schedule(moment)

    def _delegate(self, delegate: events.Delegate) -> None:
        request = self._requests_by_number[delegate.number]
        request.attempts += [send.attempt for send in delegate.sends]
        self._delegation_client.start(
            delegate,
            request.request,
            request_id=request.request_id,
            headers=request.forwarded_headers(delegate.sends[0].team),
        )

    def _send(self, send: events.Send) -> None:
        request = self._requests_by_number[send.number]
        exchange = exchanges.Exchange(
            attempt=send.attempt,
            address=send.address,
            request_id=request.request_id,
            head=request.forwarded_head(send.team),
            upstream_id=send.upstream_id,
            body=request.request.body,
            deadline=self._clock.monotonic() + send.time_left,
            on_start=self._on_start,
            on_end=self._on_end,
            may_start=functools.partial(self._may_start, send.team)
            if send.team
            else None,
        )
        request.attempts.append(send.attempt)
        self._exchanges_by_attempt[send.attempt] = exchange
        self._starter.add(exchange, max_connections=send.connections)

    def _may_start(self, team: str) -> bool:
        """Return whether an attempt may be written; it may have waited for long."""
        return self._router.key_guard.may_send(team, "attempt")

    def _release(self, attempt: int, *, may_cancel: bool) -> None:
        exchange = self._exchanges_by_attempt.get(attempt)
        if exchange is not None and not self._channel.has_attempt(attempt):
            # It is due to start in this iteration of the event loop. It must not,
            # as the caller may be told meanwhile that it did not run.
            exchange.is_over = True
        self._channel.release(attempt, may_cancel=may_cancel)

    def _on_start(self, exchange: exchanges.Exchange) -> None:
        self._submit(events.AttemptStarted(attempt=exchange.attempt))

    def _on_end(
        self, exchange: exchanges.Exchange, outcome: events.Replied | events.Failed
    ) -> None:
        self._submit(events.AttemptEnded(attempt=exchange.attempt, outcome=outcome))

    def _check_listener(self, check: events.CheckListener) -> None:
        def on_checked(listener: events.Listener) -> None:
            self._submit(
                events.ListenerChecked(attempt=check.attempt, listener=listener)
            )

        self._channel.check_listener(check.address, on_checked)

    def _probe(self, probe: events.ProbeUpstream) -> None:
        def on_checked(listener: events.Listener) -> None:
            self._submit(
                events.UpstreamProbed(upstream_id=probe.upstream_id, listener=listener)
            )

        self._channel.check_listener(probe.address, on_checked)

    def _merged_response(self, answer: events.AnswerParts) -> http.Response:
        return caller_requests.merged_response(
            [self._part(attempt) for attempt in answer.attempts],
            answer,
            names=self._names,
            on_written=lambda: self._submit(answer.written_at(self._clock.monotonic())),
        )

    def _part(self, attempt: int) -> caller_requests.Part:
        merged = self._delegation_client.merged_part(attempt)
        return self._reply(attempt) if merged is None else merged

    def _reply(self, attempt: int) -> client_connection.Reply:
        reply = self._exchanges_by_attempt[attempt].reply
        assert reply is not None
        return reply

    def _respond(self, number: int, response: http.Response) -> None:
        request = self._requests_by_number.get(number)
        if request is not None:
            request.respond(response)

    def _on_wake(self) -> None:
        self._submit(events.TimeReached())
