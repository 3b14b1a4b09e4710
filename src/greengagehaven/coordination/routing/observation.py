"""Updates the state of upstreams from the outcomes of attempts."""

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
"""HTTP status of an upstream that isn't the one the request was meant for."""

OUTLIER_LATENCY_RATIO = 3.0
"""Multiples of the usual latency above which a reply is reported to other hosts. Work
varies by a third, and one reply in a hundred takes five times as long."""

CANCELLED_FAULT_RATIO = 4.0
"""Multiples of the usual latency after which a cancelled attempt counts as a fault.
Pauses last that long; an upstream that hangs longer doesn't answer at all."""


class Observer:
    """Applies the outcomes of attempts to the state of their upstreams.

    :param fleet: the upstreams.
    :param latencies: latency distributions by class of request.
    :param reachability: marks upstreams that accept no connection as unreachable.
    :param crashes: investigates lost attempts.
    :param versions: tallies the outcomes of services with a roll-out in progress.
    :param counts: counts ejections.
    :param used: mechanisms that are enabled.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        fleet: fleet.Fleet,
        latencies: latency.LatencyTracker,
        reachability: reachability.Reachability,
        crashes: crashes.CrashDetector,
        versions: versions.VersionSelector,
        counts: counts.Counts,
        used: mechanisms.Mechanisms,
        clock: clocks.Clock,
    ) -> None:
        self._versions = versions
        self._used = used
        self._fleet = fleet
        self._latencies = latencies
        self._reachability = reachability
        self._crashes = crashes
        self._counts = counts
        self._clock = clock

    def apply_outcome(
        self,
        attempt: request.Attempt,
        outcome: events.Replied | events.Failed,
        actions: list[events.Action],
    ) -> None:
        """Apply the outcome of an attempt to the state of its upstream."""
        self._versions.record(attempt, outcome)
        if isinstance(outcome, events.Replied):
            self._apply_reply(attempt, outcome, actions)
        else:
            self._apply_failure(attempt, outcome, actions)

    def _apply_reply(
        self,
        attempt: request.Attempt,
        reply: events.Replied,
        actions: list[events.Action],
    ) -> None:
        now = self._clock.monotonic()
        upstream = attempt.upstream
        upstream.heard_at = now
        work_time = self._record_load(upstream, reply.load, now)
        if reply.status == MISDIRECTED:
            self._remove_misdirected(attempt, actions)
        elif reply.is_success:
            # A helper's own measurement excludes the time that the reply was held back
            # to be reported with others.
            took = now - attempt.sent_at if reply.took is None else reply.took
            upstream.record_success(now)
            # Latency that the reported work time explains ends when the machine
            # recovers, so it must not be remembered for seconds as slowness of the
            # upstream.
            ratio = took / attempt.typical_latency
            ratio = min(ratio, max(1.0, ratio / work_time))
            upstream.record_latency(ratio, now)
            if ratio > OUTLIER_LATENCY_RATIO:
                self._report_outlier(upstream, watching.OutlierKind.SLOW, actions)
            self._latencies.observe(latency_class(attempt.request.route), took, now)
        elif reply.not_run:
            upstream.record_rejection(reply.load, now)
            if reply.was_rejected_with_free_slots:
                self._report_outlier(upstream, watching.OutlierKind.FAULTY, actions)
        else:
            self._record_fault(attempt, reply, now)

    def _record_load(
        self, upstream: upstreams.Upstream, load: events.Load | None, now: float
    ) -> float:
        """Record a load report; return the work time that applied to its request.

        The machine may have become slow or recovered while the request ran, so this is
        the greater of the work times before and after the report. It is 1 if the
        upstream reports none.
        """
        if load is None:
            return 1.0
        upstream.load = load
        upstream.load_at = now
        if not self._used.work_time:
            return 1.0
        earlier = upstream.work_time.expected(now)
        upstream.work_time.record(load, now)
        return max(1.0, earlier, upstream.work_time.expected(now))

    def _apply_failure(
        self,
        attempt: request.Attempt,
        failed: events.Failed,
        actions: list[events.Action],
    ) -> None:
        now = self._clock.monotonic()
        upstream = attempt.upstream
        if failed.fault is events.Fault.LOST and failed.received_nothing:
            if failed.is_first_use:
                upstream.record_connection_limit(now)
            else:
                self._record_fault(attempt, failed, now)
            self._crashes.investigate(attempt, actions)
        elif failed.fault is events.Fault.CANCELLED:
            ratio = (now - attempt.sent_at) / attempt.typical_latency
            upstream.record_latency(ratio, now)
            if ratio > CANCELLED_FAULT_RATIO:
                self._record_fault(attempt, failed, now)
                self._report_outlier(upstream, watching.OutlierKind.SLOW, actions)
        elif failed.fault is events.Fault.CONNECT:
            self._record_fault(attempt, failed, now)
            if now - upstream.heard_at > upstreams.RECENTLY_HEARD_S:
                self._reachability.mark_unreachable(upstream, "connect")
        elif failed.fault is events.Fault.CONNECTION_LIMIT:
            upstream.record_connection_limit(now)
        elif failed.fault not in (events.Fault.UNSENT, events.Fault.HELPER):
            self._record_fault(attempt, failed, now)

    def _report_outlier(
        self,
        upstream: upstreams.Upstream,
        kind: watching.OutlierKind,
        actions: list[events.Action],
    ) -> None:
        """Report an outlier to other hosts, to save them from detecting it as well."""
        if self._used.sharing:
            outlier = watching.Outlier(
                upstream_id=upstream.entry.id,
                incarnation=upstream.entry.incarnation,
                kind=kind,
            )
            actions.append(events.ReportOutlier(outlier=outlier))

    def _record_fault(
        self,
        attempt: request.Attempt,
        outcome: events.Replied | events.Failed,
        now: float,
    ) -> None:
        upstream = attempt.upstream
        if upstream.record_fault(now):
            self._counts.upstream_changes["ejected"] += 1
            log.warning(
                "upstream_ejected",
                upstream=upstream.entry.id,
                service=upstream.entry.service,
                reason=request.failure_reason(outcome),
                in_row=upstream.faults_in_row,
                for_ms=round((upstream.ejected_until - now) * 1000),
            )

    def _remove_misdirected(
        self, attempt: request.Attempt, actions: list[events.Action]
    ) -> None:
        """Remove an upstream whose address is used by another one now."""
        entry = attempt.upstream.entry
        known = self._fleet.upstreams_by_id.get(entry.id)
        if known is attempt.upstream:
            log.warning("address_reused", upstream=entry.id, address=entry.address)
            self._fleet.remove(entry.id)
            actions.append(events.CloseUpstreamConnections(address=entry.address))


def latency_class(route: routes.Route) -> latency.LatencyClass:
    """Return the class of requests with similar latencies: one for each route."""
    return latency.LatencyClass(service="", kind=route.name)
