"""How long work takes on an upstream's machine, as the upstream reports it.

Upstreams share machines that become slow for some hundred milliseconds. An upstream
that reports this in its load is avoided from its first reply on; without the report a
host needs two slow latencies to find it out, and remembers them for seconds after the
machine has recovered.
"""

import math

from greengagehaven.coordination.routing import events

USUAL_PERCENT = 100.0
"""Work time in percent that an upstream reports while its machine is not slow."""

HALF_LIFE_S = 0.3
"""Seconds in which a report loses half of its weight. A slow period lasts some 600 ms,
so half of the machines that were slow are still slow after 300 ms."""


class WorkTime:
    """Current work time of one upstream as a multiple of its usual one."""

    def __init__(self) -> None:
        self._reported = 1.0
        self._reported_at = -math.inf

    @property
    def reported_at(self) -> float:
        """Return when it was reported last, minus infinity if never."""
        return self._reported_at

    def record(self, load: events.Load, at: float) -> bool:
        """Record a load report; return whether it had a work time and was newer.

        :param at: monotonic seconds at which the upstream sent it.
        """
        if load.work_percent is None or at <= self._reported_at:
            return False
        self._reported = load.work_percent / USUAL_PERCENT
        self._reported_at = at
        return True

    def expected(self, now: float) -> float:
        """Return the multiple expected now; reports lose their weight with age."""
        if self._reported == 1.0:
            return 1.0
        weight = 0.5 ** ((now - self._reported_at) / HALF_LIFE_S)
        return 1.0 + (self._reported - 1.0) * weight
