"""An entry host that routes requests to upstreams: input and output of the router."""

import asyncio
import dataclasses
import datetime
import itertools
import typing
from collections import abc

import xxhash

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven import rng as rngs
from greengagehaven import settings as settings_module
from greengagehaven.coordination import control_host_selection
from greengagehaven.coordination.routing import events, merging, router
from greengagehaven.daemons import (
    delegation_client,
    delegation_server,
    exposition,
    lender,
    rollout_reports,
    usage_reports,
    watcher,
)
from greengagehaven.protocol import delegation_messages, watching
from greengagehaven.protocol import header_names as names_module
from greengagehaven.state import configuration, rollouts, routes, teams
from greengagehaven.transport import (
    exchanges,
    http,
    http_peers,
    http_server,
    request_head,
)

ACCEPT_WHILE_STOPPING = datetime.timedelta(seconds=3.2)
"""Time from the stop signal in which new connections are still accepted."""

STOP_MARGIN = datetime.timedelta(seconds=0.8)
"""Part of the grace period that is reserved for closing after the drain."""

BINARY_CONTENT_TYPE = "application/octet-stream"
_MS = 1000.0

DocumentParser = abc.Callable[[bytes], routes.RoutingTable]


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Settings of an entry host that routes requests.

    :param listen: ``IP:PORT`` for callers.
    :param ready_listen: ``IP:PORT`` for readiness checks of the load balancer.
    :param ready_path: path of the readiness checks.
    :param control_addresses: peer addresses of control hosts to start from.
    :param metrics_listen: ``IP:PORT`` for metrics, ``None`` for no metrics.
    :param peer_listen: ``IP:PORT`` where other entry hosts of the zone delegate
        attempts of sweeps to this one, ``None`` if they can't.
    :param grace: longest time from the stop signal to the end of the process.
    """

    host_id: str
    zone: str
    listen: str
    ready_listen: str
    ready_path: str = "/readyz"
    control_addresses: tuple[str, ...]
    grace: datetime.timedelta
    router: router.Options
    metrics_listen: str | None = None
    peer_listen: str | None = None


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
        settings: GatewaySettings,
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
        self._watcher = watcher.Watcher(
            channel=self._client,
            host_id=settings.host_id,
            availability_zone=settings.zone,
            is_entry=True,
            control_addresses=settings.control_addresses,
            delegation_address=settings.peer_listen or "",
            control_host_selector=control_host_selection.SameZoneControlHost(
                zone=settings.zone, clock=clock
            ),
            confirmation_period=lambda: self._router.key_guard.renewal_period,
            sink=self,
            clock=clock,
            rng=rng,
        )
        self._rollout_reporter = rollout_reports.Reporter(
            host_id=settings.host_id,
            channel=self._client,
            addresses=lambda: self._watcher.followed,
            collect=self._router.rollout_reports,
            on_acknowledged=self._on_reports_acknowledged,
            clock=clock,
        )
        self._usage_reporter = self._make_usage_reporter()
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
            },
            clock=clock,
        )
        self._delegation_client = delegation_client.DelegationClient(
            host_id=settings.host_id, channel=self._client, sink=self, clock=clock
        )
        self._numbers = itertools.count(1)
        self._requests_by_number: dict[int, http.Request] = {}
        self._headers_by_number: dict[int, list[tuple[str, str]]] = {}
        self._heads_by_number: dict[int, request_head.RequestHead] = {}
        self._futures_by_number: dict[int, asyncio.Future[http.Response]] = {}
        self._exchanges_by_attempt: dict[int, exchanges.Exchange] = {}
        self._attempts_by_number: dict[int, list[int]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")
        self._is_stopping = False
        self.has_refused_settings = False
        self._revision = 0
        self._metrics = exposition.MetricsServer(registry=self._make_registry)
        self._server = http_server.HttpServer(handler=self._handle, clock=clock)
        self._ready_server = http_server.HttpServer(
            handler=self._handle_ready, clock=clock
        )

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._router.in_flight

    @property
    def followed(self) -> frozenset[str]:
        """Return the peer addresses of the control hosts that this host follows."""
        return self._watcher.followed

    async def start(self) -> None:
        """Start listening and watching control hosts.

        :raises SettingError: an address cannot be bound.
        """
        listen = settings_module.parse_address("listen", self._settings.listen)
        await self._server.start(*listen)
        ready = settings_module.parse_address(
            "ready listen", self._settings.ready_listen
        )
        await self._ready_server.start(*ready)
        if self._settings.metrics_listen is not None:
            bind = settings_module.parse_address(
                "metrics", self._settings.metrics_listen
            )
            await self._metrics.start(*bind)
        if self._settings.peer_listen is not None:
            bind = settings_module.parse_address(
                "peer listen", self._settings.peer_listen
            )
            await self._peer_server.start(*bind)
        self._watcher.start()

    def set_seeds(self, addresses: abc.Iterable[str]) -> None:
        """Watch these control hosts as well."""
        self._watcher.set_seeds(addresses)

    async def drain(self) -> int:
        """Finish the requests in flight and those that still arrive, then stop."""
        self._is_stopping = True
        self._delegation_server.is_stopping = True
        cut_off_count = await self._server.drain(
            self._settings.grace - STOP_MARGIN, accept_for=ACCEPT_WHILE_STOPPING
        )
        await self.close()
        return cut_off_count

    async def close(self) -> None:
        """Stop and close the sockets."""
        await self._rollout_reporter.close()
        if self._usage_reporter is not None:
            await self._usage_reporter.close()
        await self._watcher.close()
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
        zones = frozenset(state.drained_zones)
        self._submit(events.ZonesDrained(zones=zones))
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
            self._server.limits = _server_limits(table.caller_limits)
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

    def _on_reports_acknowledged(self, is_acknowledged: bool) -> None:
        self._submit(events.RolloutReportsAcknowledged(is_acknowledged=is_acknowledged))

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

    def _make_usage_reporter(self) -> usage_reports.UsageReporter | None:
        limit = self._router.usage_limit
        if limit is None:
            return None
        reporter = usage_reports.UsageReporter(
            host_id=self._settings.host_id,
            channel=self._client,
            addresses=lambda: self._watcher.followed,
            shares=limit.shares,
            clock=self._clock,
        )
        limit.on_request = reporter.on_request
        return reporter

    def _make_registry(self) -> typing.Any:
        gauges: dict[str, tuple[str, abc.Callable[[], float]]] = {
            "routed_in_flight": (
                "Requests in flight, not answered yet",
                lambda: self._router.in_flight,
            ),
            "routed_gathers": (
                "Calls from other hosts with attempts that are not reported yet",
                lambda: self._delegation_server.in_flight,
            ),
            "routed_revision": (
                "Revision of the configuration in force",
                lambda: self._revision,
            ),
            "routed_rollouts": (
                "Roll-outs in progress that this host knows of",
                lambda: len(self._router.rollout_reports()),
            ),
            "routed_upstreams": (
                "Upstreams that this host knows of",
                lambda: len(self._router.fleet.upstreams_by_id),
            ),
            "routed_connections_opened": (
                "Connections opened to upstreams since the start",
                lambda: self._channel.connections_opened,
            ),
        }
        collectors: list[typing.Any] = []
        if self._router.key_guard.lease is not None:
            collectors.append(
                exposition.KeyLeaseCollector(guard=self._router.key_guard)
            )
        return exposition.make_registry(
            *collectors,
            exposition.GatewayCollector(counted=self._router.counts, gauges=gauges),
            exposition.TrafficCollector(traffic=self._client.call_counts),
            exposition.SettingsCollector(is_refused=lambda: self.has_refused_settings),
            *(
                exposition.UsageCollector(refused_by_team=limit.refused_by_team)
                for limit in (self._router.usage_limit,)
                if limit is not None
            ),
        )

    async def _handle_ready(self, request: http.Request) -> http.Response:
        if request.path != self._settings.ready_path:
            raise exceptions.NotFoundError("no such path")
        has_table = self._router.table is not None
        is_ready = has_table and not (
            self._is_stopping
            or self._router.is_cut_off
            or self._router.key_guard.is_missing
        )
        return http.Response(status=200 if is_ready else 503, content_type=None)

    async def _handle(self, request: http.Request) -> http.Response:
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._requests_by_number[number] = request
        self._futures_by_number[number] = future
        arrived = events.RequestArrived(
            number=number,
            request_id=request.headers.get(self._names.request_id) or f"local-{number}",
            host=_host_of(request),
            path=request.target,
            fingerprint=_fingerprint_of(request),
            time_left=_parse_time_left(request.headers.get(self._names.time_left)),
            key_digest=_key_digest_of(request, self._names.key),
        )
        try:
            self._submit(arrived)
            return await future
        except asyncio.CancelledError:
            self._submit(events.RequestAbandoned(number=number))
            raise
        finally:
            del self._requests_by_number[number]
            self._headers_by_number.pop(number, None)
            self._heads_by_number.pop(number, None)
            del self._futures_by_number[number]
            for attempt in self._attempts_by_number.pop(number, ()):
                self._exchanges_by_attempt.pop(attempt, None)
                self._delegation_client.forget(attempt)

    def _submit(self, event: events.Event) -> None:
        for action in self._router.step(event):
            self._carry_out(action)
        # Failing readiness checks keep new connections away, but callers go on using
        # the open ones, so each response closes its connection.
        self._server.close_after_response = self._router.is_cut_off

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
                self._respond(number, self._forwarded_response(attempt))
            case events.AnswerParts():
                self._respond(action.number, self._merged_response(action))
            case events.Refuse(number=number, error=error):
                self._respond(number, _error_response(error))
            case events.CloseUpstreamConnections(address=address):
                self._channel.retire_connections(address)
            case events.CheckListener():
                self._check_listener(action)
            case events.ProbeUpstream():
                self._probe(action)
            case events.ReportOutlier(outlier=outlier):
                self._watcher.report_outlier(outlier)
            case events.RequestLoan():
                self._lender.borrow(action)
            case events.ReportCrash(crash=crash):
                self._watcher.report_crash(crash)
            case events.WakeAt(moment=moment):
                self._schedule_wake(moment)

    def _forwarded_headers(self, send: events.Send) -> list[tuple[str, str]]:
        """Return the forwarded headers of a request, the same for all upstreams."""
        headers = self._headers_by_number.get(send.number)
        if headers is None:
            headers = self._select_headers(self._requests_by_number[send.number])
            if send.team:
                headers.append((self._names.team, send.team))
            self._headers_by_number[send.number] = headers
        return headers

    def _forwarded_head(self, send: events.Send) -> request_head.RequestHead:
        """Return the forwarded head of a request, the same for all upstreams."""
        head = self._heads_by_number.get(send.number)
        if head is None:
            request = self._requests_by_number[send.number]
            head = request_head.RequestHead(
                method=request.method,
                target=request.target,
                headers=self._forwarded_headers(send),
                body_size=len(request.body),
            )
            self._heads_by_number[send.number] = head
        return head

    def _select_headers(self, request: http.Request) -> list[tuple[str, str]]:
        left_out = {
            self._names.time_left,
            self._names.expected_upstream,
            self._names.key,
            self._names.team,
            *_connection_options(request.headers),
        }
        return [
            (name, value)
            for name, value in request.headers.items()
            if name not in exchanges.NOT_FORWARDED_HEADERS and name not in left_out
        ]

    def _delegate(self, delegate: events.Delegate) -> None:
        request = self._requests_by_number[delegate.number]
        attempts = [send.attempt for send in delegate.sends]
        self._attempts_by_number.setdefault(delegate.number, []).extend(attempts)
        self._delegation_client.start(
            delegate,
            request,
            request_id=request.headers.get(self._names.request_id) or "",
            headers=self._forwarded_headers(delegate.sends[0]),
        )

    def _send(self, send: events.Send) -> None:
        request = self._requests_by_number[send.number]
        exchange = exchanges.Exchange(
            attempt=send.attempt,
            address=send.address,
            request_id=request.headers.get(self._names.request_id) or "",
            head=self._forwarded_head(send),
            upstream_id=send.upstream_id,
            body=request.body,
            deadline=self._clock.monotonic() + send.time_left,
            on_start=self._on_start,
            on_end=self._on_end,
            may_start=self._start_check(send.team),
        )
        self._attempts_by_number.setdefault(send.number, []).append(send.attempt)
        self._exchanges_by_attempt[send.attempt] = exchange
        # Deferred: an attempt that ends at once must not submit its end within a step.
        loop = asyncio.get_running_loop()
        loop.call_soon(self._start, exchange, send.connections)

    def _start_check(self, team: str) -> abc.Callable[[], bool] | None:
        """Return the check before an attempt is written; it may wait for a connection.

        :param team: id of the team that sent the request, empty if there is none.
        """
        guard = self._router.key_guard
        if guard.lease is None or not team:
            return None
        return lambda: guard.may_send(team, "attempt")

    def _start(self, exchange: exchanges.Exchange, connections: int) -> None:
        self._channel.send(exchange, max_connections=connections)

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

    def _forwarded_response(self, attempt: int) -> http.Response:
        reply = self._exchanges_by_attempt[attempt].reply
        assert reply is not None
        options = _connection_options(reply.headers)
        headers = tuple(
            (name, value)
            for name, value in reply.headers.items()
            if name not in exchanges.NOT_FORWARDED_HEADERS and name not in options
        )
        return http.Response(
            status=reply.status, body=reply.body, content_type=None, headers=headers
        )

    def _merged_response(self, answer: events.AnswerParts) -> http.Response:
        signatures: list[str] = []
        bodies: list[bytes] = []
        reports: list[delegation_messages.AttemptReport] = []
        for attempt in answer.attempts:
            part = self._delegation_client.merged_part(attempt)
            if part is not None:
                signatures.append(part.signature)
                # The records of a report cover all parts in it.
                if not any(part.report is report for report in reports):
                    reports.append(part.report)
                continue
            reply = self._exchanges_by_attempt[attempt].reply
            assert reply is not None
            signatures.append(reply.headers[self._names.signature])
            bodies.append(reply.body)
        bodies += [report.records for report in reports]
        body = merging.greatest_records(bodies, answer.top_records)
        return http.Response(
            on_written=lambda: self._submit(answer.written_at(self._clock.monotonic())),
            status=200,
            body=body,
            content_type=BINARY_CONTENT_TYPE,
            headers=(
                (self._names.part_signatures, ", ".join(signatures)),
                (self._names.missing_parts, str(answer.missing)),
            ),
        )

    def _respond(self, number: int, response: http.Response) -> None:
        future = self._futures_by_number.get(number)
        if future is not None and not future.done():
            future.set_result(response)

    def _schedule_wake(self, moment: float) -> None:
        if moment >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = moment
        loop = asyncio.get_running_loop()
        delay = max(0.0, moment - self._clock.monotonic())
        self._timer = loop.call_later(delay, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self._timer_at = float("inf")
        # If the timer runs early, the router finds nothing due and asks again.
        self._submit(events.TimeReached())


def _host_of(request: http.Request) -> str:
    return (request.headers.get("host") or "").partition(":")[0].lower()


def _fingerprint_of(request: http.Request) -> str:
    """Return a hash, equal for requests that upstreams can't distinguish."""
    head = f"{request.method} {_host_of(request)} {request.target}\n"
    digest = xxhash.xxh64(head.encode())
    digest.update(request.body)
    return digest.hexdigest()


def _key_digest_of(request: http.Request, header_name: str) -> str:
    """Return the digest of the caller's key, empty if it sent none."""
    key = request.headers.get(header_name)
    # Header values were decoded as Latin-1; this restores the bytes that were sent.
    return teams.digest_of_key(key.encode("latin-1")) if key else ""


def _parse_time_left(value: str | None) -> float | None:
    """Return the seconds that the caller waits, ``None`` if absent or invalid."""
    try:
        milliseconds = float(value or "")
    except ValueError:
        return None
    return milliseconds / _MS if 0 <= milliseconds < float("inf") else None


def _connection_options(headers: http.Headers) -> tuple[str, ...]:
    value = headers.get("connection")
    if value is None:
        return ()
    return tuple(option.strip().lower() for option in value.split(","))


def _error_response(error: exceptions.RequestError) -> http.Response:
    headers: tuple[tuple[str, str], ...] = ()
    if error.retry_after is not None:
        headers = (("Retry-After", f"{error.retry_after:.3f}"),)
    return http.Response(
        status=error.status,
        content_type=None,
        headers=headers,
        # A caller that kept its connection would return to this host, while the load
        # balancer sends new connections to others.
        closes_connection=isinstance(error, exceptions.KeyLeaseExpiredError),
    )


def _server_limits(limits: routes.CallerLimits) -> http_server.ServerLimits:
    return http_server.ServerLimits(
        body_bytes=limits.body_bytes,
        head_bytes=limits.head_bytes,
        request_timeout=datetime.timedelta(seconds=max(limits.head_timeout, 10.0)),
        idle_timeout=datetime.timedelta(seconds=limits.idle_timeout),
    )
