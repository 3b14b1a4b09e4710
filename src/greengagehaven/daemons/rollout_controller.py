"""A control host's part in roll-outs: pools reports, and leads where it is leader."""

import asyncio
import secrets
import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import peers
from greengagehaven.coordination.rollouts import phases, pooling, verdict
from greengagehaven.daemons import rollout_reports
from greengagehaven.protocol import codec, rollouts, watching
from greengagehaven.state import audit, configuration
from greengagehaven.state import rollouts as held_rollouts

if typing.TYPE_CHECKING:
    from greengagehaven.daemons import control, roster_feed

TICK_S = 0.1
FORWARD_TIMEOUT_S = 0.5
LOG_PERIOD_S = 1.0
AUTHOR = "rollout"
CHANGE_ID_BYTES = 8

CATCH_UP_S = 5.0
"""Seconds after its start in which a host reads orders of before from the log."""


class RolloutController:
    """Takes entry hosts' reports, and moves roll-outs on where this host leads.

    :param host: the control host.
    :param feed: knows the upstreams and the entry hosts.
    :param channel: calls to the leader.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        host: "control.ControlHost",
        feed: "roster_feed.RosterFeed",
        channel: peers.PeerChannel,
        clock: clocks.Clock,
    ) -> None:
        self._host = host
        self._feed = feed
        self._channel = channel
        self._clock = clock
        self._pool = pooling.ReportPool()
        self._unsent: dict[tuple[str, str], rollouts.HostReport] = {}
        self._times = RolloutTimes(clock=clock)
        self._answers_by_phase: dict[tuple[int, rollouts.Phase], int] = {}
        self._logged_at = float("-inf")
        self._led_since: float | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return what answers each call."""
        return {rollout_reports.REPORT_METHOD: self.handle}

    def start(self) -> None:
        """Begin to look after roll-outs."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Look after them no more."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def handle(self, body: bytes) -> bytes:
        """Record reports of entry hosts, or those that another control host got."""
        received = codec.decode_msgpack(body, rollouts.HostReports)
        now = self._clock.monotonic()
        for report in received.reports:
            if self._pool.add(report, now):
                self._unsent[report.host_id, report.run] = report
        return b""

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            running = held_rollouts.running(self._host.current.rollouts)
            self._times.retain(running)
            self._retain(running)
            if not running:
                continue
            try:
                await self._reconcile(running)
            except (exceptions.ControlError, exceptions.PeerError) as error:
                log.debug("rollout_waits", error=error.detail)

    def _retain(self, running: tuple[rollouts.Rollout, ...]) -> None:
        """Forget what is of no roll-out in progress."""
        self._pool.retain(running)
        if not running:
            self._unsent.clear()
        numbers = {each.number for each in running}
        for key in [key for key in self._answers_by_phase if key[0] not in numbers]:
            del self._answers_by_phase[key]

    async def _reconcile(self, running: tuple[rollouts.Rollout, ...]) -> None:
        if not self._host.is_leader:
            self._led_since = None
            await self._forward()
            return
        now = self._clock.monotonic()
        if self._led_since is None:
            self._led_since = now
        self._unsent.clear()
        is_due = now - self._logged_at >= LOG_PERIOD_S
        if is_due:
            self._logged_at = now
        for rollout in running:
            view = self._view(rollout, now)
            step = phases.next_step(rollout, view)
            if is_due or step is not None:
                _log_view(rollout, view, step)
            if step is not None:
                await self._propose_step(rollout, view, step)

    async def _forward(self) -> None:
        """Pass reports on to the leader."""
        address = self._host.leader_address
        if address is None or not self._unsent:
            return
        unsent, self._unsent = self._unsent, {}
        message = rollouts.HostReports(reports=tuple(unsent.values()))
        try:
            await self._channel.call(
                address,
                rollout_reports.REPORT_METHOD,
                codec.encode_msgpack(message),
                timeout=FORWARD_TIMEOUT_S,
            )
        except exceptions.PeerError:
            self._unsent = {**unsent, **self._unsent}
            raise

    def _view(self, rollout: rollouts.Rollout, now: float) -> phases.View:
        target, others = self._slots_of(rollout, now)
        unconfirmed: list[str] = []
        if rollout.phase is rollouts.Phase.RETIRING:
            hosts = self._feed.entry_hosts()
            unconfirmed = self._pool.unconfirmed(rollout, hosts, now)
        judged = self._pool.judge(rollout)
        return phases.View(
            elapsed=self._times.elapsed(rollout),
            in_phase=self._times.in_phase(rollout),
            pooled_for=now - (self._led_since or now),
            answers_in_phase=judged.answers - self._answers_before(rollout, judged),
            judged=judged,
            target_slots=target,
            other_slots=others,
            unconfirmed=len(unconfirmed),
        )

    def _answers_before(
        self, rollout: rollouts.Rollout, judged: verdict.Verdict
    ) -> int:
        """Return the answers that the target version had when the phase began."""
        key = rollout.number, rollout.phase
        return self._answers_by_phase.setdefault(key, judged.answers)

    def _slots_of(self, rollout: rollouts.Rollout, now: float) -> tuple[int, int]:
        target = others = 0
        for held in self._feed.roster.of_service(rollout.service):
            entry = held.entry
            if entry.stage is not watching.Stage.READY:
                continue
            if entry.version != rollout.version:
                others += entry.slots
            elif now >= held.cold_until:
                target += entry.slots
        return target, others

    async def _propose_step(
        self, rollout: rollouts.Rollout, view: phases.View, step: phases.Step
    ) -> None:
        change = configuration.RolloutStep(
            change_id=secrets.token_hex(CHANGE_ID_BYTES),
            author=AUTHOR,
            service=rollout.service,
            number=rollout.number,
            phase=step.phase,
            detail=f"{step.reason}: {_figures_of(view.judged)}",
        )
        record: audit.AuditRecord = await self._host.decide(change)
        if not record.accepted:
            log.warning(
                "rollout_step_refused", service=rollout.service, code=record.code
            )


class RolloutTimes:
    """How long roll-outs last, on this host's monotonic clock.

    What stood in the log at the start of this process began at some time before, which
    only the wall clock tells; it may have been set since, so it is trusted for no more.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._started_at = clock.monotonic()
        self._ordered_at_by_number: dict[int, float] = {}
        self._phase_at_by_number: dict[int, tuple[rollouts.Phase, float]] = {}

    def retain(self, running: abc.Iterable[rollouts.Rollout]) -> None:
        """Record when roll-outs and their phases began, and forget those that ended."""
        now = self._clock.monotonic()
        numbers = set()
        for rollout in running:
            numbers.add(rollout.number)
            if rollout.number not in self._ordered_at_by_number:
                is_recalled = now - self._started_at < CATCH_UP_S
                age = self._wall_age(rollout) if is_recalled else 0.0
                self._ordered_at_by_number[rollout.number] = now - age
            phase, _ = self._phase_at_by_number.get(rollout.number, (None, now))
            if phase is not rollout.phase:
                self._phase_at_by_number[rollout.number] = rollout.phase, now
        for number in set(self._ordered_at_by_number) - numbers:
            del self._ordered_at_by_number[number]
            del self._phase_at_by_number[number]

    def elapsed(self, rollout: rollouts.Rollout) -> float:
        """Return the seconds since the order."""
        return self._clock.monotonic() - self._ordered_at_by_number[rollout.number]

    def in_phase(self, rollout: rollouts.Rollout) -> float:
        """Return the seconds since the phase began here."""
        return self._clock.monotonic() - self._phase_at_by_number[rollout.number][1]

    def _wall_age(self, rollout: rollouts.Rollout) -> float:
        age = self._clock.now().timestamp() - rollout.ordered_at
        return min(max(0.0, age), rollout.duration_s)


def _figures_of(judged: verdict.Verdict) -> str:
    return (
        f"{judged.bad} of {judged.answers} answers bad, usually "
        f"{judged.usual_share:.2f}, ratio {judged.ratio:.1f}"
    )


def _log_view(
    rollout: rollouts.Rollout, view: phases.View, step: phases.Step | None
) -> None:
    judged = view.judged
    log.info(
        "rollout",
        service=rollout.service,
        version=rollout.version,
        rollout=rollout.number,
        phase=rollout.phase,
        elapsed_ms=round(view.elapsed * 1000),
        of_ms=round(rollout.duration_s * 1000),
        answers=judged.answers,
        bad=judged.bad,
        usual_share=round(judged.usual_share, 3),
        ratio=round(judged.ratio, 2),
        route=judged.route,
        target_slots=view.target_slots,
        other_slots=view.other_slots,
        unconfirmed=view.unconfirmed,
        step="" if step is None else step.phase,
        reason="" if step is None else step.reason,
    )
