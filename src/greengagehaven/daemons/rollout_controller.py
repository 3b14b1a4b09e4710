"""A control host's part in roll-outs: collects reports; the leader advances phases.

Every control host accepts reports of entry hosts and forwards them to the leader, so
that the leader judges a version by the answers of all entry hosts.
"""

import asyncio
import secrets
import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import peers
from greengagehaven.coordination.rollouts import phases, report_pool, sequential_test
from greengagehaven.daemons import rollout_reports
from greengagehaven.protocol import codec, rollouts, watching
from greengagehaven.state import audit, configuration
from greengagehaven.state import rollouts as rollout_state
from greengagehaven.transport import background_tasks

if typing.TYPE_CHECKING:
    from greengagehaven.daemons import control_host, roster_feed

RECONCILE_PERIOD_S = 0.1
FORWARD_TIMEOUT_S = 0.5
LOG_PERIOD_S = 1.0
ROLLOUT_AUTHOR = "rollout"
RANDOM_CHANGE_ID_BYTES = 8

LOG_CATCH_UP_S = 5.0
"""Seconds after start in which a roll-out that appears may be an old one of the log."""


class RolloutController:
    """Collects entry hosts' reports and, on the leader, advances roll-outs.

    :param host: the control host.
    :param feed: source of the known upstreams and entry hosts.
    :param channel: client for calls to the leader.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        host: "control_host.ControlHost",
        feed: "roster_feed.RosterFeed",
        channel: peers.PeerChannel,
        clock: clocks.Clock,
    ) -> None:
        self._host = host
        self._feed = feed
        self._channel = channel
        self._clock = clock
        self._report_pool = report_pool.ReportPool()
        self._unsent_reports: dict[tuple[str, str], rollouts.RolloutReport] = {}
        self._timers = RolloutTimers(clock=clock)
        self._initial_answers_by_phase: dict[tuple[int, rollouts.Phase], int] = {}
        self._logged_at = float("-inf")
        self._leader_since: float | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return the handler of each peer method."""
        return {rollout_reports.REPORT_METHOD: self.handle}

    def start(self) -> None:
        """Start the control loop."""
        self._task = background_tasks.start(self._run, task="control_rollouts")

    async def close(self) -> None:
        """Stop the control loop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def handle(self, body: bytes) -> bytes:
        """Record reports sent by an entry host or forwarded by another control host."""
        received = codec.decode_msgpack(body, rollouts.RolloutReports)
        now = self._clock.monotonic()
        for report in received.reports:
            if self._report_pool.add(report, now):
                self._unsent_reports[report.host_id, report.run] = report
        return b""

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(RECONCILE_PERIOD_S)
            running = rollout_state.running(self._host.current.rollouts)
            self._timers.update(running)
            self._discard_ended(running)
            if not running:
                continue
            try:
                await self._reconcile(running)
            except (exceptions.ControlError, exceptions.PeerError) as error:
                log.debug("rollout_waits", error=error.detail)

    def _discard_ended(self, running: tuple[rollouts.Rollout, ...]) -> None:
        """Discard reports and counts of roll-outs that have ended."""
        self._report_pool.discard_except(running)
        if not running:
            self._unsent_reports.clear()
        numbers = {each.number for each in running}
        for key in [
            key for key in self._initial_answers_by_phase if key[0] not in numbers
        ]:
            del self._initial_answers_by_phase[key]

    async def _reconcile(self, running: tuple[rollouts.Rollout, ...]) -> None:
        if not self._host.is_leader:
            self._leader_since = None
            await self._forward()
            return
        now = self._clock.monotonic()
        if self._leader_since is None:
            self._leader_since = now
        self._unsent_reports.clear()
        is_due = now - self._logged_at >= LOG_PERIOD_S
        if is_due:
            self._logged_at = now
        for rollout in running:
            view = self._build_view(rollout, now)
            step = phases.next_transition(rollout, view)
            if is_due or step is not None:
                _log_view(rollout, view, step)
            if step is not None:
                await self._propose_step(rollout, view, step)

    async def _forward(self) -> None:
        """Forward unsent reports to the leader; keep them if the call fails."""
        address = self._host.leader_address
        if address is None or not self._unsent_reports:
            return
        unsent_reports, self._unsent_reports = self._unsent_reports, {}
        message = rollouts.RolloutReports(reports=tuple(unsent_reports.values()))
        try:
            await self._channel.call(
                address,
                rollout_reports.REPORT_METHOD,
                codec.encode_msgpack(message),
                timeout=FORWARD_TIMEOUT_S,
            )
        except exceptions.PeerError:
            self._unsent_reports = {**unsent_reports, **self._unsent_reports}
            raise

    def _build_view(self, rollout: rollouts.Rollout, now: float) -> phases.RolloutView:
        target_slots, other_slots = self._ready_slots(rollout, now)
        unconfirmed: list[str] = []
        if rollout.phase is rollouts.Phase.RETIRING:
            hosts = self._feed.entry_hosts()
            unconfirmed = self._report_pool.unconfirmed_hosts(rollout, hosts, now)
        judged = self._report_pool.verdict(rollout)
        return phases.RolloutView(
            seconds_since_order=self._timers.seconds_since_order(rollout),
            seconds_in_phase=self._timers.seconds_in_phase(rollout),
            pooled_for=now - (self._leader_since or now),
            answers_in_phase=judged.answers
            - self._answers_at_phase_start(rollout, judged),
            verdict=judged,
            target_slots=target_slots,
            other_slots=other_slots,
            unconfirmed=len(unconfirmed),
        )

    def _answers_at_phase_start(
        self, rollout: rollouts.Rollout, judged: sequential_test.Verdict
    ) -> int:
        """Return the answer count of the target version at the start of the phase."""
        key = rollout.number, rollout.phase
        return self._initial_answers_by_phase.setdefault(key, judged.answers)

    def _ready_slots(self, rollout: rollouts.Rollout, now: float) -> tuple[int, int]:
        target_slots = other_slots = 0
        for known_upstream in self._feed.roster.items_of_service(rollout.service):
            entry = known_upstream.entry
            if entry.stage is not watching.Stage.READY:
                continue
            if entry.version != rollout.version:
                other_slots += entry.slots
            elif now >= known_upstream.cold_until:
                target_slots += entry.slots
        return target_slots, other_slots

    async def _propose_step(
        self,
        rollout: rollouts.Rollout,
        view: phases.RolloutView,
        step: phases.Transition,
    ) -> None:
        change = configuration.RolloutStep(
            change_id=secrets.token_hex(RANDOM_CHANGE_ID_BYTES),
            author=ROLLOUT_AUTHOR,
            service=rollout.service,
            number=rollout.number,
            phase=step.phase,
            detail=f"{step.reason}: {_describe_verdict(view.verdict)}",
        )
        record: audit.AuditRecord = await self._host.propose_audited(change)
        if not record.accepted:
            log.warning(
                "rollout_step_refused", service=rollout.service, code=record.code
            )


class RolloutTimers:
    """Measures the duration of roll-outs by this host's monotonic clock.

    The start of a roll-out that was already in the log when this process started is
    only known as wall-clock time. As that clock may have been set since, it is used
    for nothing else.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._started_at = clock.monotonic()
        self._ordered_at_by_number: dict[int, float] = {}
        self._phase_at_by_number: dict[int, tuple[rollouts.Phase, float]] = {}

    def update(self, running: abc.Iterable[rollouts.Rollout]) -> None:
        """Record the start of new roll-outs and phases; remove roll-outs that ended."""
        now = self._clock.monotonic()
        numbers = set()
        for rollout in running:
            numbers.add(rollout.number)
            if rollout.number not in self._ordered_at_by_number:
                may_be_from_log = now - self._started_at < LOG_CATCH_UP_S
                age = self._wall_clock_age(rollout) if may_be_from_log else 0.0
                self._ordered_at_by_number[rollout.number] = now - age
            phase, _ = self._phase_at_by_number.get(rollout.number, (None, now))
            if phase is not rollout.phase:
                self._phase_at_by_number[rollout.number] = rollout.phase, now
        for number in set(self._ordered_at_by_number) - numbers:
            del self._ordered_at_by_number[number]
            del self._phase_at_by_number[number]

    def seconds_since_order(self, rollout: rollouts.Rollout) -> float:
        """Return the seconds since the roll-out was ordered."""
        return self._clock.monotonic() - self._ordered_at_by_number[rollout.number]

    def seconds_in_phase(self, rollout: rollouts.Rollout) -> float:
        """Return the seconds since this host first saw the current phase."""
        return self._clock.monotonic() - self._phase_at_by_number[rollout.number][1]

    def _wall_clock_age(self, rollout: rollouts.Rollout) -> float:
        age = self._clock.now().timestamp() - rollout.ordered_at
        return min(max(0.0, age), rollout.duration_s)


def _describe_verdict(judged: sequential_test.Verdict) -> str:
    return (
        f"{judged.bad} of {judged.answers} answers bad, usually "
        f"{judged.usual_share:.2f}, ratio {judged.ratio:.1f}"
    )


def _log_view(
    rollout: rollouts.Rollout, view: phases.RolloutView, step: phases.Transition | None
) -> None:
    judged = view.verdict
    log.info(
        "rollout",
        service=rollout.service,
        version=rollout.version,
        rollout=rollout.number,
        phase=rollout.phase,
        elapsed_ms=round(view.seconds_since_order * 1000),
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
