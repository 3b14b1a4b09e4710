"""The time by which a host that is stopping has to answer its requests."""

import math

from greengagehaven import exceptions
from greengagehaven.coordination.routing import recent_quantile, retry_delays


class StopDeadline:
    """Limits the deadlines of requests once the host is stopping.

    A request that is likely to outlast the host is refused before it is sent to an
    upstream, so that its caller can use another host while it has time left.

    :param retry_delays: delays after which refused callers may retry.

    ``at`` is the time, in monotonic seconds, by which all requests are answered;
    infinity while the host is not stopping.
    """

    def __init__(self, *, retry_delays: retry_delays.RetryDelays) -> None:
        self.at = math.inf
        self._retry_delays = retry_delays
        self._times_by_route: dict[str, recent_quantile.RecentQuantile] = {}

    def record_time(self, route_name: str, seconds: float) -> None:
        """Record how long a request of a route took from arrival to answer."""
        times = self._times_by_route.get(route_name)
        if times is None:
            times = recent_quantile.RecentQuantile()
            self._times_by_route[route_name] = times
        times.record(seconds)

    def retain(self, names: frozenset[str]) -> None:
        """Drop the times of all routes but those named."""
        for name in set(self._times_by_route) - names:
            del self._times_by_route[name]

    def check(self, route_name: str, now: float) -> None:
        """Check that a request that arrives now can be answered in time.

        :raises DrainingError: the host stops too soon.
        """
        times = self._times_by_route.get(route_name)
        expected = 0.0 if times is None else times.value
        if now + expected >= self.at:
            raise exceptions.DrainingError(
                f"the host stops in {max(0.0, self.at - now):.1f} s, and requests of "
                f"this route take up to {expected:.1f} s",
                retry_after=self._retry_delays.after_failure(),
            )
