"""Simulated entry hosts: the real router with simulated connections."""

import collections
import dataclasses
import itertools
import math
import typing
from collections import abc

from greengagehaven.coordination import rendezvous
from greengagehaven.coordination.routing import (
    events,
    extra_attempt_budget,
    fleet,
    mechanisms,
    router,
)
from greengagehaven.daemons import roster_feed
from greengagehaven.experiment import (
    delegated_attempts,
    environment,
    event_loop,
    randomness,
    upstreams,
)
from greengagehaven.protocol import watching
from greengagehaven.state import routes

CONNECT_TIMEOUT_S = 0.4
RELEASE_GRACE_S = 0.3
"""Seconds for which a released attempt may still end before it is cancelled."""

OUTLIER_REPORT_DELAY_S = 0.1


class Network(typing.Protocol):
    """Delays and partitions between zones."""

    def one_way_delay(self, zone: str, other: str) -> float:
        """Return the one-way delay between two zones in seconds."""

    def is_partitioned(self, zone: str, other: str) -> bool:
        """Return whether two zones are partitioned from each other."""


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class _Exchange:
    """An attempt in flight.

    :param work: seconds of work at an upstream of normal speed.
    :param key: identifies the attempt at this host; negative for one that another
        host delegated.
    :param gather: the delegated attempts that it belongs to, ``None`` for an own one.
    :param is_enqueued: whether it waits for a connection, or has had one.
    """

    send: events.Send
    work: float
    key: int
    gather: delegated_attempts.DelegatedAttempts | None = None
    job: upstreams.Job | None = None
    is_enqueued: bool = False
    is_ended: bool = False


class _Pool:
    """Connection pool for one upstream.

    ``idle`` holds the times since which connections are idle, in simulated seconds.
    """

    def __init__(self) -> None:
        self.idle: list[float] = []
        self.busy = 0
        self.opening = 0
        self.waiting: collections.deque[_Exchange] = collections.deque()


class Host:
    """Passes callers' requests to the router and executes the router's actions.

    :param on_answer: called with the number of a request and the action that ends it.
    :param work_of: returns the seconds of work of a request at an upstream.
    :param on_arrival: called for each attempt that reaches an upstream, with the
        request's number, the upstream and whether it accepted the attempt.
    :param on_outlier: called with the zone, the host and an upstream that it found
        slow or faulty.
    :param on_decision: called for each attempt that the router sends, with the upstream
        and the age of its load report in seconds.
    :param enabled_mechanisms: mechanisms that the router uses.
    """

    def __init__(
        self,
        *,
        id: str,
        zone: str,
        declared: environment.Environment,
        upstreams_by_id: abc.Mapping[str, upstreams.Upstream],
        network: Network,
        on_answer: abc.Callable[[int, events.Action], None],
        work_of: abc.Callable[[int, str], float],
        on_arrival: abc.Callable[[int, str, bool], None],
        on_outlier: abc.Callable[[str, str, watching.Outlier], None],
        on_decision: abc.Callable[[str, float], None],
        enabled_mechanisms: mechanisms.Mechanisms,
        loop: event_loop.Loop,
        rng: randomness.HostRng,
        answer_rng: randomness.HostRng,
    ) -> None:
        self.id = id
        self.zone = zone
        self.is_up = True
        self.is_frozen = False
        self.opened_connections = 0
        self.hosts_by_id: abc.Mapping[str, Host] = {}
        self._declared = declared
        self._upstreams_by_id = upstreams_by_id
        self._network = network
        self._on_answer = on_answer
        self._work_of = work_of
        self._on_arrival = on_arrival
        self._on_outlier = on_outlier
        self._on_decision = on_decision
        self._enabled_mechanisms = enabled_mechanisms
        self._loop = loop
        self._rng = rng
        self._rng_of_answers = answer_rng
        self._boot = 0
        self._busy_until = 0.0
        self._events_while_frozen: list[events.Event] = []
        self._reset()

    def start(
        self, table: routes.RoutingTable, entries: abc.Sequence[watching.UpstreamEntry]
    ) -> None:
        """Start with the routing table and the current upstreams."""
        self.is_up = True
        self.step(events.HostCountChanged(count=self._declared.host_count))
        self.step(events.EntryHostsChanged(hosts=self._known_hosts()))
        self.step(events.RoutingTableChanged(table=table))
        self.step(events.UpstreamsChanged(entries=tuple(entries)))

    def _known_hosts(self) -> tuple[watching.HostEntry, ...]:
        """Return all hosts of this zone and some of each other zone.

        Control hosts send the same selection to entry hosts.
        """
        ids_by_zone: dict[str, list[str]] = {}
        for each in self.hosts_by_id.values():
            ids_by_zone.setdefault(each.zone, []).append(each.id)
        own = ids_by_zone.pop(self.zone, [])
        known = [watching.HostEntry(id=host_id, address=host_id) for host_id in own]
        remote = rendezvous.rank_groups(
            self.id, ids_by_zone, roster_feed.MAX_HOSTS_PER_REMOTE_ZONE
        )
        for zone, ids in remote.items():
            known += [
                watching.HostEntry(id=host_id, address=host_id, availability_zone=zone)
                for host_id in ids
            ]
        return tuple(known)

    def crash(self) -> list[int]:
        """Crash; return the numbers of the open requests, which are lost."""
        self.is_up = False
        self._boot += 1
        lost = list(self._open_request_numbers)
        for exchange in self._exchanges.values():
            exchange.is_ended = True
            if exchange.job is not None:
                self._upstreams_by_id[exchange.send.upstream_id].cancel(exchange.job)
        for upstream_id, pool in self._pools.items():
            held = len(pool.idle) + pool.busy
            self._upstreams_by_id[upstream_id].connections -= held
        self._reset()
        return lost

    def unfreeze(self) -> None:
        """Resume and process the events that arrived while frozen."""
        self.is_frozen = False
        missed_events, self._events_while_frozen = self._events_while_frozen, []
        for event in missed_events:
            self.step(event)

    def submit(self, arrived: events.RequestArrived) -> None:
        """Handle a new request."""
        self._open_request_numbers.add(arrived.number)
        if self._declared.answer_ms:
            self._call_when_free(0.0, self._take_up, self._boot, arrived)
        else:
            self.step(arrived)

    def _take_up(self, boot: int, arrived: events.RequestArrived) -> None:
        if boot == self._boot and arrived.number in self._open_request_numbers:
            self.step(arrived)

    def _answer(
        self, action: events.ForwardReply | events.AnswerParts | events.Refuse
    ) -> None:
        if self._declared.answer_ms:
            seconds = -math.log(1.0 - self._rng_of_answers.random())
            seconds *= self._declared.answer_ms / 1000
            self._call_when_free(seconds, self._write, self._boot, action)
        else:
            self._open_request_numbers.discard(action.number)
            self._on_answer(action.number, action)

    def _write(
        self,
        boot: int,
        action: events.ForwardReply | events.AnswerParts | events.Refuse,
    ) -> None:
        if boot != self._boot or action.number not in self._open_request_numbers:
            return
        self._open_request_numbers.discard(action.number)
        self._on_answer(action.number, action)
        if isinstance(action, events.AnswerParts):
            self.step(action.written_at(self._loop.time))

    def _record_decision(self, send: events.Send) -> None:
        upstream = self.router.fleet.upstreams_by_id[send.upstream_id]
        self._on_decision(send.upstream_id, self._loop.time - upstream.load_at)

    def abandon(self, number: int) -> None:
        """Abandon a request whose caller has disconnected."""
        self._open_request_numbers.discard(number)
        self.step(events.RequestAbandoned(number=number))

    def step(self, event: events.Event) -> None:
        """Pass an event to the router and execute the resulting actions."""
        if self.is_frozen:
            self._events_while_frozen.append(event)
            return
        for action in self.router.step(event):
            self._carry_out(action)

    def _reset(self) -> None:
        options = router.Options(
            zone=self.zone,
            host_id=self.id,
            retry_ratio=self._declared.retry_ratio,
            retry_burst=self._declared.retry_burst,
            retry_window=self._declared.retry_window_s,
            cold_bound=fleet.ColdRateLimit(),
            enabled_mechanisms=self._enabled_mechanisms,
        )
        self.router = router.Router(options=options, clock=self._loop, rng=self._rng)
        self._exchanges: dict[int, _Exchange] = {}
        self._keys = itertools.count(1)
        self._helpers_by_attempt: dict[int, tuple[Host, int]] = {}
        self._pools: dict[str, _Pool] = collections.defaultdict(_Pool)
        self._open_request_numbers: set[int] = set()
        self._wake_at = float("inf")

    def _carry_out(self, action: events.Action) -> None:
        match action:
            case events.Send():
                self._record_decision(action)
                self._send(action, key=action.attempt)
            case events.Delegate():
                self._delegate(action)
            case events.WakeAt(moment=moment):
                if moment < self._wake_at:
                    self._wake_at = moment
                    self._loop.call_at(moment, self._wake, self._boot, moment)
            case events.ReleaseAttempts(attempts=attempts, may_cancel=may_cancel):
                for attempt in attempts:
                    self._release_attempt(attempt, may_cancel)
            case events.CheckListener(attempt=attempt, address=address):
                self._probe(
                    address,
                    lambda listener: events.ListenerChecked(
                        attempt=attempt, listener=listener
                    ),
                )
            case events.ProbeUpstream(upstream_id=upstream_id):
                self._probe(
                    upstream_id,
                    lambda listener: events.UpstreamProbed(
                        upstream_id=upstream_id, listener=listener
                    ),
                )
            case events.ReportOutlier(outlier=outlier):
                self._loop.call_later(
                    OUTLIER_REPORT_DELAY_S,
                    self._on_outlier,
                    self.zone,
                    self.id,
                    outlier,
                )
            case events.RequestLoan():
                self._request_loan(action)
            case events.ForwardReply() | events.AnswerParts() | events.Refuse():
                self._answer(action)

    def _wake(self, boot: int, moment: float) -> None:
        if boot == self._boot and self.is_up and moment == self._wake_at:
            self._wake_at = float("inf")
            self.step(events.TimeReached())

    def _delegate(self, delegate: events.Delegate) -> None:
        helper = self.hosts_by_id[delegate.address]
        delay = self._network.one_way_delay(self.zone, helper.zone)
        for send in delegate.sends:
            self._record_decision(send)
            self.step(events.AttemptStarted(attempt=send.attempt))
        if helper.is_up:
            self._loop.call_later(
                delay, helper.run_delegated, self, self._boot, delegate
            )
        else:
            self._loop.call_later(
                2 * delay, self._on_helper_unreachable, self._boot, delegate
            )

    def _request_loan(self, request: events.RequestLoan) -> None:
        lender = self.hosts_by_id[request.address]
        delay = self._network.one_way_delay(self.zone, lender.zone)
        until = self._loop.time + extra_attempt_budget.LOAN_LIFETIME_S
        boot = self._boot

        def receive_loan(services: tuple[str, ...]) -> None:
            if boot == self._boot and self.is_up:
                received = events.LoanReceived(
                    number=request.number, services=services, until=until
                )
                self.step(received)

        def lend() -> None:
            can_lend = lender.is_up and not lender.is_frozen
            services = lender.router.lend(request.services) if can_lend else ()
            self._loop.call_later(delay, receive_loan, services)

        self._loop.call_later(delay, lend)

    def _on_helper_unreachable(self, boot: int, delegate: events.Delegate) -> None:
        if boot != self._boot:
            return
        unsent = events.Failed(fault=events.Fault.UNSENT)
        self.step(events.HelperEnded(address=delegate.address, failed="refused"))
        ended = (
            events.AttemptEnded(attempt=send.attempt, outcome=unsent)
            for send in delegate.sends
        )
        self.step(events.AttemptsReported(ended=tuple(ended)))

    def run_delegated(
        self, delegator: "Host", boot: int, delegate: events.Delegate
    ) -> None:
        """Send attempts that another host delegated, and report how they end."""
        if not self.is_up or self.is_frozen:
            return
        attempts = [send.attempt for send in delegate.sends]
        keys = delegated_attempts.keys_for(attempts, self._keys)

        def end() -> None:
            ended = events.HelperEnded(address=self.id)
            self._loop.call_later(
                gather.one_way_delay, delegator.handle_helper_end, boot, ended
            )

        gather = delegated_attempts.DelegatedAttempts(
            delegator=delegator,
            delegator_boot=boot,
            delegate=delegate,
            one_way_delay=self._network.one_way_delay(self.zone, delegator.zone),
            loop=self._loop,
            keys=keys,
            on_all_ended=end,
        )
        for send in delegate.sends:
            delegator.record_helper(boot, send.attempt, self, keys[send.attempt])
            self._send(send, key=keys[send.attempt], gather=gather)

    def record_helper(self, boot: int, attempt: int, helper: "Host", key: int) -> None:
        """Record the helper that sends an attempt, and the attempt's key there."""
        if boot == self._boot:
            self._helpers_by_attempt[attempt] = helper, key

    def handle_report(self, boot: int, report: events.AttemptsReported) -> None:
        """Handle a helper's report of attempts that ended."""
        if boot == self._boot and self.is_up:
            self._call_when_processed(self._apply_report, boot, report)

    def handle_helper_end(self, boot: int, ended: events.HelperEnded) -> None:
        """Handle the end of all attempts that were delegated to a helper."""
        if boot == self._boot and self.is_up:
            self.step(ended)

    def _apply_report(self, boot: int, report: events.AttemptsReported) -> None:
        if boot != self._boot:
            return
        for each in report.ended:
            self._helpers_by_attempt.pop(each.attempt, None)
        self.step(report)

    def _send(
        self,
        send: events.Send,
        *,
        key: int,
        gather: delegated_attempts.DelegatedAttempts | None = None,
    ) -> None:
        work = self._work_of(send.number, send.upstream_id)
        exchange = _Exchange(send=send, work=work, key=key, gather=gather)
        self._exchanges[key] = exchange
        if self._declared.send_ms:
            seconds = self._declared.send_ms / 1000
            self._call_when_free(seconds, self._enqueue, self._boot, exchange)
        else:
            self._enqueue(self._boot, exchange)

    def _enqueue(self, boot: int, exchange: _Exchange) -> None:
        if boot != self._boot or exchange.is_ended:
            return
        send = exchange.send
        exchange.is_enqueued = True
        pool = self._pools[send.upstream_id]
        pool.waiting.append(exchange)
        self._send_waiting(send.upstream_id, pool, send.connections)

    def _send_waiting(self, upstream_id: str, pool: _Pool, limit: int) -> None:
        upstream = self._upstreams_by_id[upstream_id]
        self._close_expired(upstream, pool)
        while pool.waiting and pool.idle:
            pool.idle.pop()
            pool.busy += 1
            self._start(upstream, pool, pool.waiting.popleft())
        free_connections = limit - pool.busy - len(pool.idle) - pool.opening
        for _ in range(min(free_connections, len(pool.waiting) - pool.opening)):
            pool.opening += 1
            self._open_connection(upstream, pool, limit)

    def _close_expired(self, upstream: upstreams.Upstream, pool: _Pool) -> None:
        expired_since = self._loop.time - self._declared.keep_alive_s
        unexpired = [since for since in pool.idle if since > expired_since]
        upstream.connections -= len(pool.idle) - len(unexpired)
        pool.idle = unexpired

    def _open_connection(
        self, upstream: upstreams.Upstream, pool: _Pool, limit: int
    ) -> None:
        self.opened_connections += 1
        delay = self._network.one_way_delay(self.zone, upstream.zone)
        boot = self._boot
        if self._is_unresponsive(upstream):
            self._loop.call_later(
                CONNECT_TIMEOUT_S, self._on_connect_failed, boot, upstream, pool, limit
            )
        elif upstream.state is upstreams.State.CLOSED:
            self._loop.call_later(
                2 * delay, self._on_connect_failed, boot, upstream, pool, limit
            )
        else:
            seconds = 2 * delay + upstream.service.handshake_ms / 1000
            self._loop.call_later(seconds, self._on_connected, boot, upstream, pool)

    def _is_unresponsive(self, upstream: upstreams.Upstream) -> bool:
        is_unresponsive = upstream.state is upstreams.State.UNRESPONSIVE
        return is_unresponsive or self._network.is_partitioned(self.zone, upstream.zone)

    def _on_connected(
        self, boot: int, upstream: upstreams.Upstream, pool: _Pool
    ) -> None:
        if boot != self._boot:
            return
        pool.opening -= 1
        if not pool.waiting:
            upstream.connections += 1
            pool.idle.append(self._loop.time)
            return
        exchange = pool.waiting.popleft()
        if upstream.connections >= upstream.service.connections:
            self._report_start(exchange)
            lost = events.Failed(
                fault=events.Fault.LOST, received_nothing=True, is_first_use=True
            )
            delay = self._network.one_way_delay(self.zone, upstream.zone)
            self._loop.call_later(2 * delay, self._complete, boot, exchange, lost)
            return
        upstream.connections += 1
        pool.busy += 1
        self._start(upstream, pool, exchange)

    def _on_connect_failed(
        self, boot: int, upstream: upstreams.Upstream, pool: _Pool, limit: int
    ) -> None:
        if boot != self._boot:
            return
        pool.opening -= 1
        if pool.waiting:
            failed = events.Failed(fault=events.Fault.CONNECT)
            self._complete(boot, pool.waiting.popleft(), failed)
        self._send_waiting(upstream.id, pool, limit)

    def _report_start(self, exchange: _Exchange) -> None:
        if exchange.gather is None:
            self.step(events.AttemptStarted(attempt=exchange.send.attempt))

    def _start(
        self, upstream: upstreams.Upstream, pool: _Pool, exchange: _Exchange
    ) -> None:
        self._report_start(exchange)
        delay = self._network.one_way_delay(self.zone, upstream.zone)
        boot = self._boot

        def on_end(outcome: events.Replied | events.Failed) -> None:
            if self._network.is_partitioned(self.zone, upstream.zone):
                return
            self._loop.call_later(
                delay,
                self._call_when_processed,
                self._on_reply,
                boot,
                upstream,
                pool,
                exchange,
                outcome,
            )

        exchange.job = upstreams.Job(work=exchange.work, on_end=on_end)
        self._loop.call_later(delay, self._deliver, upstream, exchange)

    def _deliver(self, upstream: upstreams.Upstream, exchange: _Exchange) -> None:
        assert exchange.job is not None
        if exchange.is_ended or self._is_unresponsive(upstream):
            return
        if upstream.state is upstreams.State.CLOSED:
            exchange.job.on_end(
                events.Failed(fault=events.Fault.LOST, received_nothing=True)
            )
        else:
            is_accepted = upstream.submit(exchange.job)
            self._on_arrival(exchange.send.number, upstream.id, is_accepted)

    def _call_when_processed(
        self, callback: abc.Callable[..., None], *arguments: object
    ) -> None:
        """Call a function once this host has processed all earlier replies.

        Processing is serial and takes ``reply_ms`` for each reply.
        """
        self._call_when_free(self._declared.reply_ms / 1000, callback, *arguments)

    def _call_when_free(
        self, seconds: float, callback: abc.Callable[..., None], *arguments: object
    ) -> None:
        """Call a function after the host's earlier work and some seconds of its own."""
        self._busy_until = max(self._loop.time, self._busy_until) + seconds
        self._loop.call_at(self._busy_until, callback, *arguments)

    def _on_reply(
        self,
        boot: int,
        upstream: upstreams.Upstream,
        pool: _Pool,
        exchange: _Exchange,
        outcome: events.Replied | events.Failed,
    ) -> None:
        if boot != self._boot or exchange.is_ended:
            return
        self._return_connection(
            upstream, pool, is_reusable=isinstance(outcome, events.Replied)
        )
        self._complete(boot, exchange, outcome)
        self._send_waiting(upstream.id, pool, exchange.send.connections)

    def _return_connection(
        self, upstream: upstreams.Upstream, pool: _Pool, *, is_reusable: bool
    ) -> None:
        pool.busy -= 1
        if is_reusable:
            pool.idle.append(self._loop.time)
        else:
            upstream.connections -= 1

    def _complete(
        self,
        boot: int,
        exchange: _Exchange,
        outcome: events.Replied | events.Failed,
    ) -> None:
        if boot != self._boot or exchange.is_ended:
            return
        exchange.is_ended = True
        self._exchanges.pop(exchange.key, None)
        if exchange.gather is not None:
            exchange.gather.record_end(exchange.key, outcome)
            return
        ended = events.AttemptEnded(attempt=exchange.send.attempt, outcome=outcome)
        self.step(ended)

    def _release_attempt(self, attempt: int, may_cancel: bool) -> None:
        helper = self._helpers_by_attempt.get(attempt)
        if helper is not None:
            other, key = helper
            delay = self._network.one_way_delay(self.zone, other.zone)
            self._loop.call_later(delay, other.release_by_key, key, may_cancel)
            return
        self.release_by_key(attempt, may_cancel)

    def release_by_key(self, key: int, may_cancel: bool) -> None:
        """Release an attempt that is no longer needed, own or delegated.

        :param may_cancel: whether it may be cancelled if it is already sent.
        """
        exchange = self._exchanges.get(key)
        if exchange is None:
            return
        pool = self._pools[exchange.send.upstream_id]
        if exchange in pool.waiting or not exchange.is_enqueued:
            if exchange.is_enqueued:
                pool.waiting.remove(exchange)
            unsent = events.Failed(fault=events.Fault.UNSENT)
            self._loop.call_later(0.0, self._complete, self._boot, exchange, unsent)
        elif may_cancel:
            self._loop.call_later(RELEASE_GRACE_S, self._cancel, self._boot, exchange)

    def _cancel(self, boot: int, exchange: _Exchange) -> None:
        if boot != self._boot or exchange.is_ended or exchange.job is None:
            return
        upstream = self._upstreams_by_id[exchange.send.upstream_id]
        pool = self._pools[upstream.id]
        upstream.cancel(exchange.job)
        self._return_connection(upstream, pool, is_reusable=False)
        self._complete(boot, exchange, events.Failed(fault=events.Fault.CANCELLED))
        self._send_waiting(upstream.id, pool, exchange.send.connections)

    def _probe(
        self,
        upstream_id: str,
        make_event: abc.Callable[[events.Listener], events.Event],
    ) -> None:
        upstream = self._upstreams_by_id[upstream_id]
        seconds = 2 * self._network.one_way_delay(self.zone, upstream.zone)
        listener = events.Listener.OPEN
        if self._is_unresponsive(upstream):
            seconds, listener = CONNECT_TIMEOUT_S, events.Listener.NO_RESPONSE
        elif upstream.state is upstreams.State.CLOSED:
            listener = events.Listener.CLOSED
        boot = self._boot

        def report() -> None:
            if boot == self._boot and self.is_up:
                self.step(make_event(listener))

        self._loop.call_later(seconds, report)
