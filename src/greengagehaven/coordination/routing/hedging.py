"""Decides when a shard without a reply is hedged on another upstream.

One upstream in twenty pauses for a moment, one in six is slow for seconds, and a sweep
needs nearly all of its shards.
"""

import math

from greengagehaven.coordination import latency
from greengagehaven.coordination.routing import mechanisms, observation, request

INITIAL_OBJECTIVE_SHARE = 0.4
"""Share of the objective after which a shard is hedged while no latency is known; half
of the objective is then left for the hedge."""

MIN_DELAY_S = 0.006
"""Seconds. A new connection to an upstream takes as long, so an earlier hedge would
not arrive earlier."""

RESERVED_BURST_SHARE = 0.2
"""Share of the burst that requests of low priority leave to urgent ones."""

URGENT_PRIORITY = 1
"""Requests with this priority number or a lower one may use the whole burst."""


REPLY_GAP_S = 0.003
"""Seconds without a reply to a sweep after which the missing shards count as
straggling. Replies that merely queue on this host's link or for its processor follow
each other more closely."""

EARLY_REPORT_SHARE = 0.5
"""Share of a helper's attempts with a reply from which on it may report early."""

EARLY_REPORT_GAPS = 2.0
"""Multiples of the mean gap between replies after which a helper reports early if no
further one arrives. On a slow processor, queued replies follow each other less closely.
"""

MAX_DELAYS = 2.0
"""Multiples of the hedge delay after which a shard is hedged even if replies still
arrive; on a busy host they never stop."""

FEW_SHARDS = 16
MANY_SHARDS = 36
"""Numbers of shards of a sweep between which the latency factor falls linearly from
``FEW_SHARDS_FACTOR`` to ``MANY_SHARDS_FACTOR``."""

FEW_SHARDS_FACTOR = 2.5
MANY_SHARDS_FACTOR = 1.7
"""Multiples of the typical latency after which a shard is hedged at the latest. Where
a sweep needs 35 of 36 shards, two late ones make it incomplete, and the time left for
the hedge decides; the earlier hedges cost 4.8 instead of 4.0 extra attempts per 100
requests, of 20 that are allowed. With ten shards they gain nothing and cost bytes."""


MIN_FACTOR = 1.2
"""Multiple of the typical latency before which nothing is hedged; otherwise half of
the upstreams would get each request twice."""

SECOND_ANSWER_FACTOR = 2.0
"""Multiple of the typical latency that a second reply takes, including a connection
that may have to be opened first and the round trip to another zone."""


class Hedging:
    """Decides when to hedge.

    :param latencies: latency distributions by class of request.
    :param used: mechanisms that are enabled.
    """

    def __init__(
        self, *, latencies: latency.LatencyTracker, used: mechanisms.Mechanisms
    ) -> None:
        self._latencies = latencies
        self._used = used

    def delay(self, routed: request.RoutedRequest) -> float:
        """Return the seconds after which a shard counts as straggling.

        It is infinite if the request may not be hedged.
        """
        route = routed.route
        may_hedge = route.is_idempotent and route.attempts > 1
        if not (may_hedge and self._used.hedging):
            return float("inf")
        key = observation.latency_class(route)
        delay = self._latencies.straggler_threshold(key)
        if delay is None:
            delay = route.objective * INITIAL_OBJECTIVE_SHARE
        else:
            typical_latency = self._latencies.usual(key)
            latest = latest_factor(len(routed.shards)) * typical_latency
            delay = min(
                delay, latest, self._latest_useful_delay(routed, typical_latency)
            )
        return max(MIN_DELAY_S, delay)

    def _latest_useful_delay(
        self, routed: request.RoutedRequest, typical_latency: float
    ) -> float:
        """Return the seconds after which a second reply would be too late.

        On a busy host, or with busy upstreams, the typical latency grows and the hedge
        delay with it, while the objective stays the same.
        """
        if not (routed.is_sweep and self._used.timely_hedging):
            return float("inf")
        remaining = routed.answer_by - routed.started_at
        return max(
            MIN_FACTOR * typical_latency,
            remaining - SECOND_ANSWER_FACTOR * typical_latency,
        )

    def postponed_hedge_at(self, attempt: request.Attempt, now: float) -> float:
        """Return when to hedge a shard whose hedge delay has passed.

        While replies of a sweep queue on this host, shards whose replies wait look
        like stragglers. Hedging them would add replies to the same link and use up
        the budget needed for replies that were lost.
        """
        replied_at = attempt.request.replied_at
        latest = attempt.sent_at + MAX_DELAYS * self.delay(attempt.request)
        return max(now, min(replied_at + REPLY_GAP_S, latest))

    def reserved_share(self, routed: request.RoutedRequest) -> float:
        """Return the share of the burst that a hedge must leave to other requests."""
        return RESERVED_BURST_SHARE if routed.priority > URGENT_PRIORITY else 0.0


def report_at(*, started_at: float, replied_at: float, after: float) -> float:
    """Return when a helper reports the replies it has, unless all arrive earlier.

    :param started_at: monotonic seconds at which the helper sent the attempts.
    :param replied_at: monotonic seconds at which it read the last reply to them.
    :param after: seconds after which the delegating host would hedge.
    :returns: monotonic seconds.
    """
    latest = started_at + MAX_DELAYS * after
    return max(started_at + after, min(latest, replied_at + REPLY_GAP_S))


def early_report_at(
    *, first_at: float, last_at: float, replies: int, attempts: int
) -> float:
    """Return when a helper reports the replies it has before it reports stragglers.

    One straggler would hold the replies to all other attempts of its call back until it
    is to be hedged.

    :param first_at: monotonic seconds at which the first reply was read.
    :param last_at: monotonic seconds at which the last reply was read.
    :param replies: number of attempts with a reply.
    :param attempts: number of all attempts of the call.
    :returns: monotonic seconds, infinite while too few replies have arrived.
    """
    if replies < EARLY_REPORT_SHARE * attempts:
        return math.inf
    mean_gap = (last_at - first_at) / max(1, replies - 1)
    return last_at + max(REPLY_GAP_S, EARLY_REPORT_GAPS * mean_gap)


def latest_factor(shards: int) -> float:
    """Return the multiple of the typical latency after which to hedge at the latest."""
    fraction = (shards - FEW_SHARDS) / (MANY_SHARDS - FEW_SHARDS)
    fraction = min(1.0, max(0.0, fraction))
    return FEW_SHARDS_FACTOR + fraction * (MANY_SHARDS_FACTOR - FEW_SHARDS_FACTOR)
