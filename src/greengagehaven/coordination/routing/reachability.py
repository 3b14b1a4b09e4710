"""Detects unreachable upstreams, and when they become reachable again.

A network partition causes no connection resets: each request sent across it would wait
until its deadline. As an upstream that has been silent for a while may just be slow, it
counts as unreachable only once no connection to it can be opened either.
"""

from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import log
from greengagehaven.coordination.routing import (
    counts,
    events,
    fleet,
    request,
    upstreams,
)

WATCH_PERIOD_S = 0.1
"""Seconds between two checks for silent upstreams."""


class Reachability:
    """Marks upstreams as reachable or unreachable.

    :param fleet: the upstreams, whose ``is_reachable`` is set here.
    :param counts: counts changes of reachability.
    :param clock: monotonic time.
    :param wake_at: schedules a call of :meth:`check` at a time in monotonic seconds.
    """

    def __init__(
        self,
        *,
        fleet: fleet.Fleet,
        counts: counts.Counts,
        clock: clocks.Clock,
        wake_at: abc.Callable[[float], None],
    ) -> None:
        self._fleet = fleet
        self._counts = counts
        self._clock = clock
        self._wake_at = wake_at
        self._is_watching = False

    def schedule_check(self) -> None:
        """Schedule the next check of upstreams, unless one is scheduled already."""
        if not self._is_watching:
            self._is_watching = True
            self._wake_at(self._clock.monotonic() + WATCH_PERIOD_S)

    def check(
        self, attempts: abc.Collection[request.Attempt], actions: list[events.Action]
    ) -> None:
        """Probe silent and unreachable upstreams, and schedule the next check.

        No check is scheduled if no attempt is in flight and no upstream unreachable.

        :param attempts: all attempts in flight.
        """
        self._is_watching = False
        now = self._clock.monotonic()
        silent = {
            attempt.upstream.entry.id: attempt.upstream
            for attempt in attempts
            if attempt.upstream.is_silent(attempt.typical_latency, now)
        }
        unreachable = {
            upstream_id: upstream
            for upstream_id, upstream in self._fleet.upstreams_by_id.items()
            if not upstream.is_reachable
        }
        for upstream in (silent | unreachable).values():
            probe(upstream, now, actions)
        if unreachable or attempts:
            self.schedule_check()

    def apply_probe(self, probed: events.UpstreamProbed) -> bool:
        """Apply the result of a probe.

        Return whether the upstream has become unreachable by it.
        """
        upstream = self._fleet.upstreams_by_id.get(probed.upstream_id)
        if upstream is None:
            return False
        now = self._clock.monotonic()
        if probed.listener is not events.Listener.OPEN:
            return self.mark_unreachable(upstream, f"probe_{probed.listener}")
        if not upstream.is_reachable:
            self._mark_reachable(upstream, now)
        upstream.heard_at = now
        return False

    def mark_unreachable(self, upstream: upstreams.Upstream, reason: str) -> bool:
        """Mark an upstream as unreachable; return whether it was reachable before."""
        if not upstream.is_reachable:
            return False
        now = self._clock.monotonic()
        upstream.mark_unreachable(now)
        self._counts.upstream_changes["out_of_reach"] += 1
        self.schedule_check()
        silent_seconds = now - upstream.heard_at
        log.warning(
            "upstream_out_of_reach",
            upstream=upstream.entry.id,
            service=upstream.entry.service,
            zone=upstream.entry.availability_zone,
            reason=reason,
            silent_ms=round(silent_seconds * 1000),
        )
        return True

    def _mark_reachable(self, upstream: upstreams.Upstream, now: float) -> None:
        self._counts.upstream_changes["reached"] += 1
        upstream.mark_reachable(now)
        log.info(
            "upstream_reached",
            upstream=upstream.entry.id,
            service=upstream.entry.service,
            zone=upstream.entry.availability_zone,
        )


def probe(
    upstream: upstreams.Upstream, now: float, actions: list[events.Action]
) -> None:
    """Check whether an upstream accepts a connection, unless it was probed recently."""
    if now < upstream.probe_at:
        return
    upstream.probe_at = now + upstreams.PROBE_PERIOD_S
    probe_action = events.ProbeUpstream(
        upstream_id=upstream.entry.id, address=upstream.entry.address
    )
    actions.append(probe_action)
