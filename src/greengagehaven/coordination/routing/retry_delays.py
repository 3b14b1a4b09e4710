"""Retry-after delays of refused requests.

During an outage a host refuses all of its callers, and most of them retry only once.
A caller whose delay ends before anything has changed is refused for good, so each
delay lasts until the cause may be over: a lost connection is checked within some
milliseconds, unreachable shards are probed twice a second, and the load balancer
takes some seconds to stop using a host that is cut off, after which a new connection
reaches a host that can serve it. Delays are randomized so that callers do not all
return at once.
"""

from greengagehaven import rng as rngs

FAILURE_RANGE_S = (0.03, 0.12)
"""Seconds; a lost connection is checked, or a full queue has moved on, within 30 ms."""

OUT_OF_REACH_RANGE_S = (0.3, 0.7)
"""Seconds; an unreachable upstream is probed every 0.5 s."""

NO_TABLE_RANGE_S = (0.7, 1.3)
"""Seconds; a control host that starts together with this host needs about 0.5 s."""

BALANCER_DETECTION_S = 2.2
"""Seconds; the load balancer checks every second and acts on the second failure."""

JITTER_S = 0.4
"""Maximum random addition, in seconds, to a delay that waits for the balancer."""


class RetryDelays:
    """Chooses how long refused callers have to wait before they retry.

    :param rng: source of the jitter.
    """

    def __init__(self, *, rng: rngs.Rng) -> None:
        self._rng = rng

    def after_failure(self) -> float:
        """Return the seconds after which a failed request may succeed."""
        return self._rng.uniform(*FAILURE_RANGE_S)

    def without_table(self) -> float:
        """Return the seconds after which a routing table should be in force."""
        return self._rng.uniform(*NO_TABLE_RANGE_S)

    def out_of_reach(self, cut_off_for: float | None) -> float:
        """Return the seconds after which a probe, or another host, may succeed.

        :param cut_off_for: seconds since this host reported to the load balancer
            that it is cut off, ``None`` if it is not.
        """
        if cut_off_for is None or cut_off_for >= BALANCER_DETECTION_S:
            return self._rng.uniform(*OUT_OF_REACH_RANGE_S)
        remaining = BALANCER_DETECTION_S - cut_off_for
        return remaining + self._rng.uniform(0.0, JITTER_S)
