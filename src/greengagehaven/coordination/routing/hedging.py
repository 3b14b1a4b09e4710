"""When a shard that has not answered is asked at another upstream as well.

The load it answers: one upstream in twenty stands still for a moment, one in six is
slow for seconds, and a sweep needs nearly all of its shards.
"""

from greengagehaven.coordination import latency
from greengagehaven.coordination.routing import mechanisms, observation, request

FIRST_SHARE = 0.4
"""Share of the objective after which to hedge where no latency is known yet: the
hedge then has half of the objective left."""

LEAST_S = 0.006
"""Seconds; a new connection to an upstream takes as long, so that a sooner hedge
would not be sooner there."""

KEEP = 0.2
"""Share of the burst that less urgent requests leave to the urgent ones."""

URGENT_PRIORITY = 1
"""Requests of this rank and higher may use all of the burst."""


STILL_S = 0.003
"""Seconds without a reply to a sweep after which the shards that lack are not just
waiting behind others, on this host's link or for its processor; those come closer."""

MOST_DELAYS = 2.0
"""Multiples of the usual delay after which a shard is hedged though replies still
come: on a busy host they never end."""

FEW_SHARDS = 16
MANY_SHARDS = 36
"""Shards of a sweep; between them the factor falls from the first to the second."""

FACTOR_OF_FEW = 2.5
FACTOR_OF_MANY = 1.7
"""Multiples of the usual latency after which a shard is hedged at the latest. Where a
sweep needs 35 of 36 shards, two late ones spoil it, and the time that the hedge has
left decides; sooner hedges take 4.8 instead of 4.0 extra attempts in 100, of 20 that
are allowed. With ten shards they gain nothing and cost bytes."""


MIN_FACTOR = 1.2
"""Multiple of the usual latency before which nothing is hedged; half of the upstreams
would be asked twice."""

SECOND_ANSWER_FACTOR = 2.0
"""Multiple of the usual latency that a second answer takes, with a connection that may
have to be opened first and the way to another zone."""


class Hedging:
    """Decides when to hedge.

    :param latencies: of each kind of request.
    :param used: mechanisms that are used.
    """

    def __init__(
        self, *, latencies: latency.LatencyBook, used: mechanisms.Mechanisms
    ) -> None:
        self._latencies = latencies
        self._used = used

    def delay(self, routed: request.RoutedRequest) -> float:
        """Return the seconds after which a shard counts as straggling.

        It is without end where the request may not be hedged.
        """
        route = routed.route
        may_hedge = route.is_idempotent and route.attempts > 1
        if not (may_hedge and self._used.hedging):
            return float("inf")
        key = observation.latency_class(route)
        delay = self._latencies.straggling_after(key)
        if delay is None:
            delay = route.objective * FIRST_SHARE
        else:
            usual = self._latencies.usual(key)
            latest = factor_of(len(routed.shards)) * usual
            delay = min(delay, latest, self._last_useful(routed, usual))
        return max(LEAST_S, delay)

    def _last_useful(self, routed: request.RoutedRequest, usual: float) -> float:
        """Return the seconds after which a second answer would come too late.

        Where this host or the upstreams are busy, the usual latency grows and the
        moment to hedge with it, while the objective stays.
        """
        if not (routed.is_sweep and self._used.timely_hedging):
            return float("inf")
        left = routed.answer_by - routed.started
        return max(MIN_FACTOR * usual, left - SECOND_ANSWER_FACTOR * usual)

    def postponed(self, attempt: request.Attempt, now: float) -> float:
        """Return when a shard that straggles by now is to be hedged.

        Replies of a sweep that wait for each other here look like stragglers. To hedge
        them brings more replies over the same link, and takes the budget from those
        that were lost.
        """
        replied_at = attempt.request.replied_at
        latest = attempt.sent_at + MOST_DELAYS * self.delay(attempt.request)
        return max(now, min(replied_at + STILL_S, latest))

    def keep(self, routed: request.RoutedRequest) -> float:
        """Return the part of the burst that a hedge has to leave to others."""
        return KEEP if routed.route.priority > URGENT_PRIORITY else 0.0


def report_at(*, started_at: float, replied_at: float, after: float) -> float:
    """Return when a helper reports what is in, unless all is in sooner.

    :param started_at: monotonic seconds at which it sent the attempts.
    :param replied_at: monotonic seconds at which it read the last reply to them.
    :param after: seconds after which the asking host would hedge.
    """
    latest = started_at + MOST_DELAYS * after
    return max(started_at + after, min(latest, replied_at + STILL_S))


def factor_of(shards: int) -> float:
    """Return the multiple of the usual latency to hedge after at the latest."""
    part = (shards - FEW_SHARDS) / (MANY_SHARDS - FEW_SHARDS)
    part = min(1.0, max(0.0, part))
    return FACTOR_OF_FEW + part * (FACTOR_OF_MANY - FACTOR_OF_FEW)
