"""What the end of an attempt tells of its upstream."""

from greengagehaven import clock as clocks
from greengagehaven import log
from greengagehaven.coordination import latency
from greengagehaven.coordination.routing import (
    counts,
    crashes,
    events,
    fleet,
    mechanisms,
    reachability,
    request,
    upstreams,
    versions,
)
from greengagehaven.protocol import watching
from greengagehaven.state import routes

MISDIRECTED = 421

OUTLIER_RATIO = 3.0
"""Multiples of the usual latency above which a reply is told to other hosts; work
varies by a third, and one reply in a hundred takes five times as long."""

SLOW_RATIO = 4.0
"""Multiples of the usual latency after which an attempt that was cut off counts as
a fault: a pause is that long, and one that hangs longer answers nothing."""


class Observer:
    """Keeps what is known of upstreams up to date.

    :param of_fleet: the upstreams.
    :param latencies: of each kind of request.
    :param reach: told of upstreams that take no connection.
    :param of_crashes: looks into lost attempts.
    :param of_versions: tallies the answers of services that are rolled out.
    :param counted: counts ejections.
    :param used: mechanisms that are used.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        of_fleet: fleet.Fleet,
        latencies: latency.LatencyBook,
        reach: reachability.Reachability,
        of_crashes: crashes.Crashes,
        of_versions: versions.Versions,
        counted: counts.Counts,
        used: mechanisms.Mechanisms,
        clock: clocks.Clock,
    ) -> None:
        self._versions = of_versions
        self._used = used
        self._fleet = of_fleet
        self._latencies = latencies
        self._reach = reach
        self._crashes = of_crashes
        self._counts = counted
        self._clock = clock

    def take(
        self,
        attempt: request.Attempt,
        outcome: events.Replied | events.Failed,
        actions: list[events.Action],
    ) -> None:
        """Learn about the upstream from the end of an attempt."""
        self._versions.record(attempt, outcome)
        if isinstance(outcome, events.Replied):
            self._take_reply(attempt, outcome, actions)
        else:
            self._take_failure(attempt, outcome, actions)

    def _take_reply(
        self,
        attempt: request.Attempt,
        reply: events.Replied,
        actions: list[events.Action],
    ) -> None:
        now = self._clock.monotonic()
        upstream = attempt.upstream
        upstream.heard_at = now
        if reply.load is not None:
            upstream.load = reply.load
            upstream.load_at = now
        if reply.status == MISDIRECTED:
            self._forget(attempt, actions)
        elif reply.is_success:
            # What it waited for other parts to be reported is not the upstream's.
            took = now - attempt.sent_at if reply.took is None else reply.took
            upstream.note_success(now)
            upstream.note_latency(took / attempt.usual, now)
            if took / attempt.usual > OUTLIER_RATIO:
                self._report_outlier(upstream, watching.OutlierKind.SLOW, actions)
            self._latencies.observe(latency_class(attempt.request.route), took, now)
        elif reply.not_run:
            upstream.note_rejection(reply.load, now)
            if reply.has_room:
                self._report_outlier(upstream, watching.OutlierKind.FAULTY, actions)
        else:
            self._note_fault(attempt, reply, now)

    def _take_failure(
        self,
        attempt: request.Attempt,
        failed: events.Failed,
        actions: list[events.Action],
    ) -> None:
        now = self._clock.monotonic()
        upstream = attempt.upstream
        if failed.fault is events.Fault.LOST and failed.is_mute:
            if failed.is_fresh:
                upstream.note_crowd(now)
            else:
                self._note_fault(attempt, failed, now)
            self._crashes.look_into(attempt, actions)
        elif failed.fault is events.Fault.SILENT:
            ratio = (now - attempt.sent_at) / attempt.usual
            upstream.note_latency(ratio, now)
            if ratio > SLOW_RATIO:
                self._note_fault(attempt, failed, now)
                self._report_outlier(upstream, watching.OutlierKind.SLOW, actions)
        elif failed.fault is events.Fault.CONNECT:
            self._note_fault(attempt, failed, now)
            if now - upstream.heard_at > upstreams.HEARD_LATELY_S:
                self._reach.lose(upstream, "connect")
        elif failed.fault is events.Fault.CROWDED:
            upstream.note_crowd(now)
        elif failed.fault not in (events.Fault.UNSENT, events.Fault.HELPER):
            self._note_fault(attempt, failed, now)

    def _report_outlier(
        self,
        upstream: upstreams.Upstream,
        kind: watching.OutlierKind,
        actions: list[events.Action],
    ) -> None:
        """Tell other hosts what they would else find out themselves."""
        if self._used.sharing:
            outlier = watching.Outlier(
                upstream_id=upstream.entry.id,
                incarnation=upstream.entry.incarnation,
                kind=kind,
            )
            actions.append(events.ReportOutlier(outlier=outlier))

    def _note_fault(
        self,
        attempt: request.Attempt,
        outcome: events.Replied | events.Failed,
        now: float,
    ) -> None:
        upstream = attempt.upstream
        if upstream.note_fault(now):
            self._counts.upstream_changes["ejected"] += 1
            log.warning(
                "upstream_ejected",
                upstream=upstream.entry.id,
                service=upstream.entry.service,
                reason=request.kind_of_failure(outcome),
                in_row=upstream.faults_in_row,
                for_ms=round((upstream.ejected_until - now) * 1000),
            )

    def _forget(self, attempt: request.Attempt, actions: list[events.Action]) -> None:
        """Use an upstream no more whose address went to another one."""
        entry = attempt.upstream.entry
        left = self._fleet.upstreams_by_id.get(entry.id)
        if left is attempt.upstream:
            log.warning("address_reused", upstream=entry.id, address=entry.address)
            self._fleet.forget(entry.id)
            actions.append(events.ForgetUpstream(address=entry.address))


def latency_class(route: routes.Route) -> latency.LatencyClass:
    """Return the class whose latencies are alike: one for each route."""
    return latency.LatencyClass(service="", kind=route.name)
