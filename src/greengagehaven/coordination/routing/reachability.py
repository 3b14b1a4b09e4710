"""Finds upstreams that nothing comes from, and notices when they are back.

Behind a partition no reset comes: each request sent there would wait for its
deadline. An upstream that says nothing for a while may also just be slow, so it
counts as out of reach only once no connection to it can be opened either.
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


class Reachability:
    """Which upstreams are out of reach.

    :param of_fleet: the upstreams; their ``is_reachable`` is set here.
    :param counted: counts changes.
    :param clock: monotonic time.
    :param wake_at: asks for :meth:`look` at a moment, in monotonic seconds.
    """

    def __init__(
        self,
        *,
        of_fleet: fleet.Fleet,
        counted: counts.Counts,
        clock: clocks.Clock,
        wake_at: abc.Callable[[float], None],
    ) -> None:
        self._fleet = of_fleet
        self._counts = counted
        self._clock = clock
        self._wake_at = wake_at
        self._is_watching = False

    def watch(self) -> None:
        """Look at upstreams now and then while something is sent to them."""
        if not self._is_watching:
            self._is_watching = True
            self._wake_at(self._clock.monotonic() + WATCH_PERIOD_S)

    def look(
        self, attempts: abc.Collection[request.Attempt], actions: list[events.Action]
    ) -> None:
        """Probe upstreams that say nothing, and those that are out of reach.

        :param attempts: all that are on their way.
        """
        self._is_watching = False
        now = self._clock.monotonic()
        suspects = {
            attempt.upstream.entry.id: attempt.upstream
            for attempt in attempts
            if attempt.upstream.is_silent(attempt.usual, now)
        }
        lost = {
            upstream_id: upstream
            for upstream_id, upstream in self._fleet.upstreams_by_id.items()
            if not upstream.is_reachable
        }
        for upstream in (suspects | lost).values():
            probe(upstream, now, actions)
        if lost or attempts:
            self.watch()

    def take(self, probed: events.UpstreamProbed) -> bool:
        """Take in what a probe showed; return whether an upstream was lost."""
        upstream = self._fleet.upstreams_by_id.get(probed.upstream_id)
        if upstream is None:
            return False
        now = self._clock.monotonic()
        if probed.listener is not events.Listener.OPEN:
            return self.lose(upstream, f"probe_{probed.listener}")
        if not upstream.is_reachable:
            self._regain(upstream, now)
        upstream.heard_at = now
        return False

    def lose(self, upstream: upstreams.Upstream, reason: str) -> bool:
        """Count an upstream as out of reach; return whether that is news."""
        if not upstream.is_reachable:
            return False
        now = self._clock.monotonic()
        upstream.lose(now)
        self._counts.upstream_changes["out_of_reach"] += 1
        self.watch()
        silent = now - upstream.heard_at
        log.warning(
            "upstream_out_of_reach",
            upstream=upstream.entry.id,
            service=upstream.entry.service,
            zone=upstream.entry.availability_zone,
            reason=reason,
            silent_ms=round(silent * 1000),
        )
        return True

    def _regain(self, upstream: upstreams.Upstream, now: float) -> None:
        self._counts.upstream_changes["reached"] += 1
        upstream.regain(now)
        log.info(
            "upstream_reached",
            upstream=upstream.entry.id,
            service=upstream.entry.service,
            zone=upstream.entry.availability_zone,
        )


def probe(
    upstream: upstreams.Upstream, now: float, actions: list[events.Action]
) -> None:
    """Ask whether an upstream can be connected to, unless that was asked lately."""
    if now < upstream.probe_at:
        return
    upstream.probe_at = now + upstreams.PROBE_PERIOD_S
    asked = events.ProbeUpstream(
        upstream_id=upstream.entry.id, address=upstream.entry.address
    )
    actions.append(asked)
