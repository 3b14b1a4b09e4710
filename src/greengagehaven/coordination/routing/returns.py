"""When a refused caller is told to come back.

The load it answers: during an outage all callers of a host are refused, and most
of them ask just once more. Told a moment that passes before anything has changed,
they are refused for good. What has changed is known here: a loss is looked into
within some ms; shards out of reach are probed twice a second; a host that is cut
off is left by the balancer after some seconds, and the next connection then ends
at a host that can serve it. Each moment is spread, or all would return at once.
"""

from greengagehaven import rng as rngs

AT_ONCE_RANGE_S = (0.03, 0.12)
"""Seconds; a loss is looked into, or a full queue has moved on, within 30 ms."""

OUT_OF_REACH_RANGE_S = (0.3, 0.7)
"""Seconds; an upstream that is out of reach is probed each 0.5 s."""

NO_TABLE_RANGE_S = (0.7, 1.3)
"""Seconds; a control host that starts beside this one needs about 0.5 s."""

BALANCER_NOTICES_S = 2.2
"""Seconds; the balancer asks each second and believes the second miss."""

SPREAD_S = 0.4
"""Seconds over which returns after a longer wait are spread."""


class Returns:
    """Moments at which refused callers come back.

    :param rng: spreads them.
    """

    def __init__(self, *, rng: rngs.Rng) -> None:
        self._rng = rng

    def at_once(self) -> float:
        """Return the seconds after which what failed may work again."""
        return self._rng.uniform(*AT_ONCE_RANGE_S)

    def without_table(self) -> float:
        """Return the seconds after which a table should be in force."""
        return self._rng.uniform(*NO_TABLE_RANGE_S)

    def out_of_reach(self, cut_off_for: float | None) -> float:
        """Return the seconds after which a probe, or another host, may help.

        :param cut_off_for: seconds since this host told its balancer that it is
            cut off, ``None`` if it is not.
        """
        if cut_off_for is None or cut_off_for >= BALANCER_NOTICES_S:
            return self._rng.uniform(*OUT_OF_REACH_RANGE_S)
        left = BALANCER_NOTICES_S - cut_off_for
        return left + self._rng.uniform(0.0, SPREAD_S)
