"""Estimates of the time that callers have spent on a request before it arrives.

A caller's timeout covers connecting, waiting and receiving the answer. Each request
states the caller's remaining time; the largest remaining time seen on a route is taken
as the callers' full timeout, and the difference is the time already spent.
"""

from greengagehaven.coordination.routing import mechanisms, recent_quantile
from greengagehaven.state import routes

LATENCY_WEIGHT = 0.1
"""Weight of each further latency sample; the first sample replaces the default."""

INITIAL_ONE_WAY_LATENCY_S = 0.003
"""Seconds assumed until a caller's connection has been measured: the longest known
one-way latency. An answer sent too early lacks some parts, but one sent too late
misses the objective as a whole."""

MAX_CONNECT_S = 0.05
"""Seconds; a caller that spent longer than this was refused by another host before."""

MIN_CONNECT_S = 0.0005
"""Seconds; a caller that spent less than this reused an open connection."""

OUTBOUND_QUEUE_S = 0.003
"""Seconds that an answer spends on this host's link, queued behind the requests that
this host sends."""

INITIAL_LAG_S = 0.002
"""Seconds; a timer fires up to 1 ms late, and merging the parts takes about as long."""

RISING_LAG_WEIGHT = 0.2
FALLING_LAG_WEIGHT = 0.02
"""Weights of a lag sample above and below the estimate. With these weights the
estimate settles where nine in ten samples are below it."""

MAX_LAG_RATIO = 2.0
"""Multiple of the estimated lag above which a sample counts as this multiple: a stall
that does not repeat must not make all answers leave early."""

MAX_LAG_S = 0.02
"""Seconds; a longer stall of the host does not predict the lag of the next answer."""

MAX_MARGIN_SHARE = 0.1
"""Share of the objective that is kept at most for writing the answer. If more were
kept, answers would lack so many parts that being late would cost less."""

MAX_NETWORK_MARGIN_S = 0.01
"""Seconds; callers whose round trips vary by more were connected over several networks,
and the objective of most of them can't be met by answering all of them earlier."""


class CallerTimes:
    """Estimates of callers' timeouts, their network latency and this host's lag.

    :param used: mechanisms that are enabled.
    """

    def __init__(
        self,
        *,
        used: mechanisms.Mechanisms = mechanisms.Mechanisms(),  # noqa: B008
    ) -> None:
        self._used = used
        self._timeouts_by_route: dict[str, float] = {}
        self._lateness_by_route: dict[str, recent_quantile.RecentQuantile] = {}
        self._round_trips = recent_quantile.RecentQuantile()
        self._one_way_latency: float | None = None
        self._lag = INITIAL_LAG_S
        self._lag_count = 1

    @property
    def one_way_latency(self) -> float:
        """Return the estimated one-way latency between callers and here, in seconds."""
        return (
            INITIAL_ONE_WAY_LATENCY_S
            if self._one_way_latency is None
            else self._one_way_latency
        )

    @property
    def lag(self) -> float:
        """Return the estimated seconds by which answers are written too late."""
        return self._lag

    def observe(self, route: routes.Route, time_left: float | None) -> float:
        """Record a caller's remaining time; return the seconds it has spent already.

        :param time_left: seconds that the caller will still wait, ``None`` if it does
            not say; the time spent then counts as zero.
        """
        if time_left is None:
            return 0.0
        timeout = max(self._timeouts_by_route.get(route.name, 0.0), time_left)
        if 0 < route.timeout - time_left < MAX_CONNECT_S:
            # If every caller has just connected, none of them states its full
            # timeout, which operators mostly set to the route's timeout.
            timeout = max(timeout, route.timeout)
        self._timeouts_by_route[route.name] = timeout
        waited = timeout - time_left
        if MIN_CONNECT_S < waited < MAX_CONNECT_S:
            # The caller has just connected, which takes one round trip.
            estimate = (
                waited / 2 if self._one_way_latency is None else self._one_way_latency
            )
            self._one_way_latency = estimate + LATENCY_WEIGHT * (waited / 2 - estimate)
            self._round_trips.record(waited)
        return waited

    def record_lag(self, seconds: float) -> None:
        """Record by how many seconds an answer was written later than scheduled.

        When the processor is busy, timers fire late, and other work due in the same
        iteration of the event loop runs before an answer is merged and written. Every
        answer that waits for its latest moment would be late by that time.

        The first samples that exceed the estimate get the weight that they have in the
        mean with the initial one, as some hosts get a sweep only every ten seconds.
        """
        self._lag_count += 1
        if seconds <= self._lag:
            weight = FALLING_LAG_WEIGHT
        else:
            weight = max(RISING_LAG_WEIGHT, 1 / self._lag_count)
        lag = min(seconds, MAX_LAG_S, MAX_LAG_RATIO * self._lag)
        self._lag += weight * (lag - self._lag)

    def record_lateness(self, route_name: str, seconds: float) -> None:
        """Record how long after it was due an answer of a route was written.

        The lag is one estimate for all routes, and of partial answers only. Answers of
        one kind may take longer to merge, and a complete answer that is decided just
        before the latest moment is late for the same reasons.
        """
        recent = self._lateness_by_route.get(route_name)
        if recent is None:
            recent = recent_quantile.RecentQuantile()
            self._lateness_by_route[route_name] = recent
        recent.record(min(seconds, MAX_LAG_S))

    def writing_margin(self, route: routes.Route) -> float:
        """Return the seconds before the latest moment at which an answer is decided.

        It exceeds the lag only where answers of this route were measured later.
        """
        recent = self._lateness_by_route.get(route.name)
        if recent is None or not self._used.answer_times:
            return self._lag
        return max(self._lag, min(recent.value, MAX_MARGIN_SHARE * route.objective))

    def network_margin(self) -> float:
        """Return the seconds kept for what delays an answer after it was written.

        It exceeds ``OUTBOUND_QUEUE_S`` only where callers' round trips vary by more.
        """
        if not self._used.answer_times:
            return OUTBOUND_QUEUE_S
        jitter = self._round_trips.value - 2 * self.one_way_latency
        return min(MAX_NETWORK_MARGIN_S, max(OUTBOUND_QUEUE_S, jitter))

    def answer_within(self, route: routes.Route, waited: float) -> float:
        """Return the seconds from now within which an answer meets the objective.

        :param waited: seconds that the caller had spent when its request arrived.
        """
        return (
            route.objective
            - waited
            - 2 * self.one_way_latency
            - self.network_margin()
            - self.writing_margin(route)
        )

    def retain(self, names: frozenset[str]) -> None:
        """Drop the estimates of all routes but those named."""
        for name in set(self._timeouts_by_route) - names:
            del self._timeouts_by_route[name]
        for name in set(self._lateness_by_route) - names:
            del self._lateness_by_route[name]
