"""A simulated entry host: the real router, with connections and ways around it."""

import collections
import dataclasses
import itertools
import typing
from collections import abc

from greengagehaven.coordination import rendezvous
from greengagehaven.coordination.routing import (
    events,
    extra,
    fleet,
    mechanisms,
    router,
)
from greengagehaven.daemons import roster_feed
from greengagehaven.experiment import (
    environment,
    events_loop,
    gathering,
    randomness,
    upstreams,
)
from greengagehaven.protocol import watching
from greengagehaven.state import routes

CONNECT_TIMEOUT_S = 0.4
RELEASE_GRACE_S = 0.3
OUTLIER_PERIOD_S = 0.1


class Network(typing.Protocol):
    """How long packets take and where they get lost."""

    def way(self, zone: str, other: str) -> float:
        """Return the seconds of one way between two zones."""

    def is_cut(self, zone: str, other: str) -> bool:
        """Tell whether nothing passes between two zones."""


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class _Exchange:
    """An attempt on its way.

    :param key: of the attempt here; below 0 for one of another host.
    :param gather: that it belongs to, ``None`` for an own attempt.
    """

    send: events.Send
    work: float
    key: int
    gather: gathering.Gather | None = None
    job: upstreams.Job | None = None
    is_over: bool = False


class _Pool:
    """Connections to one upstream."""

    def __init__(self) -> None:
        self.idle: list[float] = []
        self.busy = 0
        self.opening = 0
        self.waiting: collections.deque[_Exchange] = collections.deque()


class Host:
    """Takes requests of callers and carries out what the router decides.

    :param answer: told the number of a request and how it ends.
    :param work_of: gives the seconds of work of a request at an upstream.
    :param report: told what upstreams this host found slow or faulty.
    :param note_run: told each request that reaches an upstream, and whether it
        is run there.
    """

    def __init__(
        self,
        *,
        id: str,
        zone: str,
        declared: environment.Environment,
        upstreams_by_id: abc.Mapping[str, upstreams.Upstream],
        network: Network,
        answer: abc.Callable[[int, events.Action], None],
        work_of: abc.Callable[[int, str], float],
        note_run: abc.Callable[[int, str, bool], None],
        report: abc.Callable[[str, str, watching.Outlier], None],
        used: mechanisms.Mechanisms,
        loop: events_loop.Loop,
        rng: randomness.HostRng,
    ) -> None:
        self.id = id
        self.zone = zone
        self.is_up = True
        self.is_frozen = False
        self.opened = 0
        self.hosts_by_id: abc.Mapping[str, Host] = {}
        self._declared = declared
        self._upstreams_by_id = upstreams_by_id
        self._network = network
        self._answer = answer
        self._work_of = work_of
        self._note_run = note_run
        self._report = report
        self._used = used
        self._loop = loop
        self._rng = rng
        self._boot = 0
        self._busy_until = 0.0
        self._stalled: list[events.Event] = []
        self._reset()

    def start(
        self, table: routes.RoutingTable, entries: abc.Sequence[watching.UpstreamEntry]
    ) -> None:
        """Take the table and the upstreams that are known now."""
        self.is_up = True
        self.step(events.HostsCounted(count=self._declared.host_count))
        self.step(events.EntryHostsChanged(hosts=self._named_hosts()))
        self.step(events.TableInForce(table=table))
        self.step(events.UpstreamsChanged(entries=tuple(entries)))

    def _named_hosts(self) -> tuple[watching.HostEntry, ...]:
        """Return the hosts of this zone and some of each other, as control hosts do."""
        ids_by_zone: dict[str, list[str]] = {}
        for each in self.hosts_by_id.values():
            ids_by_zone.setdefault(each.zone, []).append(each.id)
        own = ids_by_zone.pop(self.zone, [])
        named = [watching.HostEntry(id=host_id, address=host_id) for host_id in own]
        remote = rendezvous.rank_groups(
            self.id, ids_by_zone, roster_feed.MAX_REMOTE_HOSTS
        )
        for zone, ids in remote.items():
            named += [
                watching.HostEntry(id=host_id, address=host_id, availability_zone=zone)
                for host_id in ids
            ]
        return tuple(named)

    def stop(self) -> list[int]:
        """Lose everything; return the requests whose callers are cut off."""
        self.is_up = False
        self._boot += 1
        lost = list(self._numbers)
        for exchange in self._exchanges.values():
            exchange.is_over = True
            if exchange.job is not None:
                self._upstreams_by_id[exchange.send.upstream_id].cut(exchange.job)
        for upstream_id, pool in self._pools.items():
            held = len(pool.idle) + pool.busy
            self._upstreams_by_id[upstream_id].connections -= held
        self._reset()
        return lost

    def thaw(self) -> None:
        """Go on with what came while standing still."""
        self.is_frozen = False
        stalled, self._stalled = self._stalled, []
        for event in stalled:
            self.step(event)

    def arrive(self, arrived: events.RequestArrived) -> None:
        """Take a request."""
        self._numbers.add(arrived.number)
        self.step(arrived)

    def leave(self, number: int) -> None:
        """Note that a request's caller is gone."""
        self._numbers.discard(number)
        self.step(events.RequestAbandoned(number=number))

    def step(self, event: events.Event) -> None:
        """Give the router an event and do what it says."""
        if self.is_frozen:
            self._stalled.append(event)
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
            cold_bound=fleet.ColdBound(),
            used=self._used,
        )
        self.router = router.Router(options=options, clock=self._loop, rng=self._rng)
        self._exchanges: dict[int, _Exchange] = {}
        self._keys = itertools.count(1)
        self._helpers_by_attempt: dict[int, tuple[Host, int]] = {}
        self._pools: dict[str, _Pool] = collections.defaultdict(_Pool)
        self._numbers: set[int] = set()
        self._wake_at = float("inf")

    def _carry_out(self, action: events.Action) -> None:
        match action:
            case events.Send():
                self._send(action, key=action.attempt)
            case events.Delegate():
                self._delegate(action)
            case events.WakeAt(moment=moment):
                if moment < self._wake_at:
                    self._wake_at = moment
                    self._loop.at(moment, self._wake, self._boot, moment)
            case events.Release(attempts=attempts, may_cut=may_cut):
                for attempt in attempts:
                    self._release(attempt, may_cut)
            case events.CheckListener(attempt=attempt, address=address):
                self._look(
                    address,
                    lambda seen: events.ListenerChecked(attempt=attempt, listener=seen),
                )
            case events.ProbeUpstream(upstream_id=upstream_id):
                self._look(
                    upstream_id,
                    lambda seen: events.UpstreamProbed(
                        upstream_id=upstream_id, listener=seen
                    ),
                )
            case events.ReportOutlier(outlier=outlier):
                self._loop.after(
                    OUTLIER_PERIOD_S, self._report, self.zone, self.id, outlier
                )
            case events.Borrow():
                self._borrow(action)
            case events.PassOn() | events.AnswerParts() | events.Refuse():
                self._numbers.discard(action.number)
                self._answer(action.number, action)

    def _wake(self, boot: int, moment: float) -> None:
        if boot == self._boot and self.is_up and moment == self._wake_at:
            self._wake_at = float("inf")
            self.step(events.TimeReached())

    def _delegate(self, asked: events.Delegate) -> None:
        helper = self.hosts_by_id[asked.address]
        way = self._network.way(self.zone, helper.zone)
        for send in asked.sends:
            self.step(events.AttemptStarted(attempt=send.attempt))
        if helper.is_up:
            self._loop.after(way, helper.gather, self, self._boot, asked)
        else:
            self._loop.after(2 * way, self._helper_refused, self._boot, asked)

    def _borrow(self, asked: events.Borrow) -> None:
        lender = self.hosts_by_id[asked.address]
        way = self._network.way(self.zone, lender.zone)
        until = self._loop.time + extra.LOAN_S
        boot = self._boot

        def come(services: tuple[str, ...]) -> None:
            if boot == self._boot and self.is_up:
                came = events.LoanCame(
                    number=asked.number, services=services, until=until
                )
                self.step(came)

        def lend() -> None:
            can_lend = lender.is_up and not lender.is_frozen
            services = lender.router.lend(asked.services) if can_lend else ()
            self._loop.after(way, come, services)

        self._loop.after(way, lend)

    def _helper_refused(self, boot: int, asked: events.Delegate) -> None:
        if boot != self._boot:
            return
        unsent = events.Failed(fault=events.Fault.UNSENT)
        self.step(events.HelperEnded(address=asked.address, failed="refused"))
        ended = (
            events.AttemptEnded(attempt=send.attempt, outcome=unsent)
            for send in asked.sends
        )
        self.step(events.AttemptsReported(ended=tuple(ended)))

    def gather(self, asker: "Host", boot: int, asked: events.Delegate) -> None:
        """Send attempts of another host and report how they end."""
        if not self.is_up or self.is_frozen:
            return
        attempts = [send.attempt for send in asked.sends]
        keys = gathering.keys_for(attempts, self._keys)

        def end() -> None:
            ended = events.HelperEnded(address=self.id)
            self._loop.after(gather.way, asker.take_helper_end, boot, ended)

        gather = gathering.Gather(
            asker=asker,
            asker_boot=boot,
            asked=asked,
            way=self._network.way(self.zone, asker.zone),
            loop=self._loop,
            keys=keys,
            on_last=end,
        )
        for send in asked.sends:
            asker.note_helper(boot, send.attempt, self, keys[send.attempt])
            self._send(send, key=keys[send.attempt], gather=gather)

    def note_helper(self, boot: int, attempt: int, helper: "Host", key: int) -> None:
        """Note where an attempt is that another host sends."""
        if boot == self._boot:
            self._helpers_by_attempt[attempt] = helper, key

    def take_report(self, boot: int, report: events.AttemptsReported) -> None:
        """Take what ended at another host."""
        if boot == self._boot and self.is_up:
            self._take_in(self._reported, boot, report)

    def take_helper_end(self, boot: int, ended: events.HelperEnded) -> None:
        """Note that all attempts at another host have ended."""
        if boot == self._boot and self.is_up:
            self.step(ended)

    def _reported(self, boot: int, report: events.AttemptsReported) -> None:
        if boot != self._boot:
            return
        for each in report.ended:
            self._helpers_by_attempt.pop(each.attempt, None)
        self.step(report)

    def _send(
        self, send: events.Send, *, key: int, gather: gathering.Gather | None = None
    ) -> None:
        work = self._work_of(send.number, send.upstream_id)
        exchange = _Exchange(send=send, work=work, key=key, gather=gather)
        self._exchanges[key] = exchange
        pool = self._pools[send.upstream_id]
        pool.waiting.append(exchange)
        self._pump(send.upstream_id, pool, send.connections)

    def _pump(self, upstream_id: str, pool: _Pool, limit: int) -> None:
        upstream = self._upstreams_by_id[upstream_id]
        self._expire(upstream, pool)
        while pool.waiting and pool.idle:
            pool.idle.pop()
            pool.busy += 1
            self._start(upstream, pool, pool.waiting.popleft())
        room = limit - pool.busy - len(pool.idle) - pool.opening
        for _ in range(min(room, len(pool.waiting) - pool.opening)):
            pool.opening += 1
            self._open(upstream, pool, limit)

    def _expire(self, upstream: upstreams.Upstream, pool: _Pool) -> None:
        oldest = self._loop.time - self._declared.keep_alive_s
        kept = [since for since in pool.idle if since > oldest]
        upstream.connections -= len(pool.idle) - len(kept)
        pool.idle = kept

    def _open(self, upstream: upstreams.Upstream, pool: _Pool, limit: int) -> None:
        self.opened += 1
        way = self._network.way(self.zone, upstream.zone)
        boot = self._boot
        if self._is_silent(upstream):
            self._loop.after(
                CONNECT_TIMEOUT_S, self._refused, boot, upstream, pool, limit
            )
        elif upstream.state is upstreams.State.CLOSED:
            self._loop.after(2 * way, self._refused, boot, upstream, pool, limit)
        else:
            seconds = 2 * way + upstream.service.handshake_ms / 1000
            self._loop.after(seconds, self._opened, boot, upstream, pool)

    def _is_silent(self, upstream: upstreams.Upstream) -> bool:
        is_dark = upstream.state is upstreams.State.DARK
        return is_dark or self._network.is_cut(self.zone, upstream.zone)

    def _opened(self, boot: int, upstream: upstreams.Upstream, pool: _Pool) -> None:
        if boot != self._boot:
            return
        pool.opening -= 1
        if not pool.waiting:
            upstream.connections += 1
            pool.idle.append(self._loop.time)
            return
        exchange = pool.waiting.popleft()
        if upstream.connections >= upstream.service.connections:
            self._begin(exchange)
            lost = events.Failed(fault=events.Fault.LOST, is_mute=True, is_fresh=True)
            way = self._network.way(self.zone, upstream.zone)
            self._loop.after(2 * way, self._end, boot, exchange, lost)
            return
        upstream.connections += 1
        pool.busy += 1
        self._start(upstream, pool, exchange)

    def _refused(
        self, boot: int, upstream: upstreams.Upstream, pool: _Pool, limit: int
    ) -> None:
        if boot != self._boot:
            return
        pool.opening -= 1
        if pool.waiting:
            failed = events.Failed(fault=events.Fault.CONNECT)
            self._end(boot, pool.waiting.popleft(), failed)
        self._pump(upstream.id, pool, limit)

    def _begin(self, exchange: _Exchange) -> None:
        if exchange.gather is None:
            self.step(events.AttemptStarted(attempt=exchange.send.attempt))

    def _start(
        self, upstream: upstreams.Upstream, pool: _Pool, exchange: _Exchange
    ) -> None:
        self._begin(exchange)
        way = self._network.way(self.zone, upstream.zone)
        boot = self._boot

        def ended(outcome: events.Replied | events.Failed) -> None:
            if self._network.is_cut(self.zone, upstream.zone):
                return
            self._loop.after(
                way,
                self._take_in,
                self._replied,
                boot,
                upstream,
                pool,
                exchange,
                outcome,
            )

        exchange.job = upstreams.Job(work=exchange.work, on_end=ended)
        self._loop.after(way, self._reach, upstream, exchange)

    def _reach(self, upstream: upstreams.Upstream, exchange: _Exchange) -> None:
        assert exchange.job is not None
        if exchange.is_over or self._is_silent(upstream):
            return
        if upstream.state is upstreams.State.CLOSED:
            exchange.job.on_end(events.Failed(fault=events.Fault.LOST, is_mute=True))
        else:
            is_run = upstream.take(exchange.job)
            self._note_run(exchange.send.number, upstream.id, is_run)

    def _take_in(self, then: abc.Callable[..., None], *arguments: object) -> None:
        """Do something once this host has taken in all that came before."""
        self._busy_until = max(self._loop.time, self._busy_until)
        self._busy_until += self._declared.reply_ms / 1000
        self._loop.at(self._busy_until, then, *arguments)

    def _replied(
        self,
        boot: int,
        upstream: upstreams.Upstream,
        pool: _Pool,
        exchange: _Exchange,
        outcome: events.Replied | events.Failed,
    ) -> None:
        if boot != self._boot or exchange.is_over:
            return
        self._free(upstream, pool, is_kept=isinstance(outcome, events.Replied))
        self._end(boot, exchange, outcome)
        self._pump(upstream.id, pool, exchange.send.connections)

    def _free(
        self, upstream: upstreams.Upstream, pool: _Pool, *, is_kept: bool
    ) -> None:
        pool.busy -= 1
        if is_kept:
            pool.idle.append(self._loop.time)
        else:
            upstream.connections -= 1

    def _end(
        self,
        boot: int,
        exchange: _Exchange,
        outcome: events.Replied | events.Failed,
    ) -> None:
        if boot != self._boot or exchange.is_over:
            return
        exchange.is_over = True
        self._exchanges.pop(exchange.key, None)
        if exchange.gather is not None:
            exchange.gather.take(exchange.key, outcome)
            return
        ended = events.AttemptEnded(attempt=exchange.send.attempt, outcome=outcome)
        self.step(ended)

    def _release(self, attempt: int, may_cut: bool) -> None:
        helper = self._helpers_by_attempt.get(attempt)
        if helper is not None:
            other, key = helper
            way = self._network.way(self.zone, other.zone)
            self._loop.after(way, other.release_key, key, may_cut)
            return
        self.release_key(attempt, may_cut)

    def release_key(self, key: int, may_cut: bool) -> None:
        """Note that nobody waits for an attempt here, own or another host's."""
        exchange = self._exchanges.get(key)
        if exchange is None:
            return
        pool = self._pools[exchange.send.upstream_id]
        if exchange in pool.waiting:
            pool.waiting.remove(exchange)
            unsent = events.Failed(fault=events.Fault.UNSENT)
            self._loop.after(0.0, self._end, self._boot, exchange, unsent)
        elif may_cut:
            self._loop.after(RELEASE_GRACE_S, self._cut, self._boot, exchange)

    def _cut(self, boot: int, exchange: _Exchange) -> None:
        if boot != self._boot or exchange.is_over or exchange.job is None:
            return
        upstream = self._upstreams_by_id[exchange.send.upstream_id]
        pool = self._pools[upstream.id]
        upstream.cut(exchange.job)
        self._free(upstream, pool, is_kept=False)
        self._end(boot, exchange, events.Failed(fault=events.Fault.SILENT))
        self._pump(upstream.id, pool, exchange.send.connections)

    def _look(
        self, upstream_id: str, told: abc.Callable[[events.Listener], events.Event]
    ) -> None:
        upstream = self._upstreams_by_id[upstream_id]
        seconds = 2 * self._network.way(self.zone, upstream.zone)
        listener = events.Listener.OPEN
        if self._is_silent(upstream):
            seconds, listener = CONNECT_TIMEOUT_S, events.Listener.SILENT
        elif upstream.state is upstreams.State.CLOSED:
            listener = events.Listener.CLOSED
        boot = self._boot

        def tell() -> None:
            if boot == self._boot and self.is_up:
                self.step(told(listener))

        self._loop.after(seconds, tell)
