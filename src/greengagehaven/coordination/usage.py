"""Recent upstream time used by each subscriber on all hosts.

Usage is measured as upstream time rather than as a number of queries, so that each
query counts by its cost. It decays exponentially, so what a subscriber used while
capacity was idle is soon forgotten. Each host reports its part to the others, so that
the usage of a subscriber that spreads its queries over all hosts is added up.
"""

import dataclasses
import math
import typing
from collections import abc

from greengagehaven import clock as clock_module
from greengagehaven.protocol import notices

DECAY_S = 1.0
REPORT_INTERVAL_S = 0.25
MAX_REPORTED_SUBSCRIBERS = 32
OVER_SHARE_FACTOR = 1.5
THROTTLED_S = 1.0

_THROTTLED_BOUND_RATIO = 0.25

_MIN_ACTIVE_S = 1e-4
_MIN_RANKED_S = 1e-6
_MIN_KEPT_S = 1e-5
_TOTALS_MAX_AGE_S = 0.02
_MIN_RETRY_AFTER_S = 0.1
_INITIAL_COST_S = 0.005
_COST_WEIGHT = 0.1
_MAX_COSTS = 10_000


class UsageOrder(typing.Protocol):
    """Ranks subscribers by how much of their share they have used."""

    def rank(self, subscriber_id: str) -> float:
        """Return the rank of a subscriber; the lowest goes first.

        It changes only when usage is charged, so it can be kept in a heap.
        """


@dataclasses.dataclass(kw_only=True, slots=True)
class _DecayedUsage:
    """Upstream time used by one subscriber, in seconds, as of ``updated_at``.

    :param total: usage through all hosts.
    :param own: the part of ``total`` used through this host.
    """

    total: float
    own: float
    updated_at: float

    def decay_to(self, now: float) -> None:
        """Decay the amounts to ``now`` (monotonic seconds)."""
        factor = math.exp((self.updated_at - now) / DECAY_S)
        self.total *= factor
        self.own *= factor
        self.updated_at = now


class UsageLedger:
    """Decayed usage of all subscribers, measured here and reported by other hosts.

    Its size is bounded: subscribers whose usage has decayed to nearly nothing are
    removed, and each other host reports at most ``MAX_REPORTED_SUBSCRIBERS``
    subscribers.

    :param clock: only ``monotonic`` is read.
    """

    def __init__(self, *, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._shares_by_id: abc.Mapping[str, float] = {}
        self._usage_by_id: dict[str, _DecayedUsage] = {}
        self._reports_by_host_id: dict[str, tuple[float, dict[str, float]]] = {}
        self._cost_by_subscriber_kind: dict[tuple[str, str], float] = {}
        self._cost_by_kind: dict[str, float] = {}
        self._throttled_at_by_id: dict[str, float] = {}
        self._active_seconds_by_id: dict[str, float] = {}
        self._active_seconds = 0.0
        self._active_shares = 0.0
        self._totals_at = -math.inf

    def __len__(self) -> int:
        return len(self._usage_by_id)

    def set_shares(self, shares_by_id: abc.Mapping[str, float]) -> None:
        """Set the subscribers' shares from the active document."""
        self._shares_by_id = shares_by_id

    def set_hosts(self, host_ids: abc.Iterable[str]) -> None:
        """Remove the reports of hosts that are no longer live."""
        live = set(host_ids)
        for host_id in [each for each in self._reports_by_host_id if each not in live]:
            self.apply_report(host_id, notices.UsageReport(usages=()))
            del self._reports_by_host_id[host_id]

    def estimate_cost(self, subscriber_id: str, kind: str) -> float:
        """Return the estimated upstream time of a sub-request, in seconds."""
        usual = self._cost_by_kind.get(kind, _INITIAL_COST_S)
        return self._cost_by_subscriber_kind.get((subscriber_id, kind), usual)

    def charge(self, subscriber_id: str, seconds: float) -> None:
        """Add upstream time to the usage of a subscriber through this host.

        :param seconds: negative to correct an estimate that was too high.
        """
        usage = self._decayed_usage(subscriber_id)
        usage.total = max(0.0, usage.total + seconds)
        usage.own = max(0.0, usage.own + seconds)

    def record_cost(self, subscriber_id: str, kind: str, seconds: float) -> None:
        """Record the upstream time of a sub-request, for later estimates."""
        cost_key = (subscriber_id, kind)
        if (
            cost_key not in self._cost_by_subscriber_kind
            and len(self._cost_by_subscriber_kind) >= _MAX_COSTS
        ):
            self._cost_by_subscriber_kind.clear()
        known = self._cost_by_subscriber_kind.get(cost_key, seconds)
        self._cost_by_subscriber_kind[cost_key] = known + _COST_WEIGHT * (
            seconds - known
        )
        if kind not in self._cost_by_kind and len(self._cost_by_kind) >= _MAX_COSTS:
            self._cost_by_kind.clear()
        usual = self._cost_by_kind.get(kind, seconds)
        self._cost_by_kind[kind] = usual + _COST_WEIGHT * (seconds - usual)

    def rank(self, subscriber_id: str) -> float:
        """Return the logarithm of usage per share, on a scale that does not decay.

        All usage decays by the same factor, so the order of two subscribers changes
        only when one is charged. Instead of applying the decay, elapsed time is added
        to the logarithm, so that ranks computed at different times are comparable. A
        subscriber without usage has a rank of minus infinity at any time.
        """
        usage = self._usage_by_id.get(subscriber_id)
        if usage is None or usage.total < _MIN_RANKED_S:
            return -math.inf
        usage_per_share = usage.total / self._share(subscriber_id)
        return usage.updated_at / DECAY_S + math.log(usage_per_share)

    def is_over_share(self, subscriber_id: str) -> bool:
        """Return whether a subscriber has used clearly more than its share.

        Its usage per share is compared with that of the other recently active
        subscribers. A subscriber that is active alone is never over its share.
        """
        max_usage_per_share = self._max_usage_per_share(subscriber_id)
        if self.was_throttled(subscriber_id):
            # A throttled subscriber uses little. With the full limit it would be
            # released, take all slots at once and be throttled again.
            max_usage_per_share *= _THROTTLED_BOUND_RATIO
        return (
            max_usage_per_share > 0.0
            and self._usage_per_share(subscriber_id) > max_usage_per_share
        )

    def record_throttled(self, subscriber_id: str) -> None:
        """Record that a subscriber over its share was rejected or made to wait."""
        self._throttled_at_by_id[subscriber_id] = self._clock.monotonic()

    def was_throttled(self, subscriber_id: str) -> bool:
        """Return whether a subscriber was throttled within ``THROTTLED_S``."""
        throttled_at = self._throttled_at_by_id.get(subscriber_id, -math.inf)
        return self._clock.monotonic() - throttled_at < THROTTLED_S

    def count_over_share(self) -> int:
        """Return the number of subscribers over their share."""
        return sum(map(self.is_over_share, list(self._usage_by_id)))

    def active_share_ratio(self, subscriber_id: str) -> float:
        """Return a subscriber's share divided by the shares of all active ones."""
        self._refresh_totals()
        own = self._share(subscriber_id)
        shares = self._active_shares
        if subscriber_id not in self._active_seconds_by_id:
            shares += own
        return own / shares

    def seconds_until_fair(self, subscriber_id: str) -> float:
        """Return after how many idle seconds a subscriber is back within its share."""
        usage_per_share = self._usage_per_share(subscriber_id)
        max_usage_per_share = self._max_usage_per_share(subscriber_id)
        if usage_per_share <= 0.0 or max_usage_per_share <= 0.0:
            return _MIN_RETRY_AFTER_S
        return max(
            _MIN_RETRY_AFTER_S,
            DECAY_S * math.log(usage_per_share / max_usage_per_share),
        )

    def make_report(self) -> notices.UsageReport:
        """Return the usage through this host of the heaviest subscribers."""
        self._drop_idle()
        heaviest = sorted(
            self._usage_by_id.items(), key=lambda item: item[1].own, reverse=True
        )
        return notices.UsageReport(
            usages=tuple(
                notices.SubscriberUsage(subscriber_id, round(usage.own, 6))
                for subscriber_id, usage in heaviest[:MAX_REPORTED_SUBSCRIBERS]
                if usage.own >= _MIN_ACTIVE_S
            )
        )

    def apply_report(self, host_id: str, report: notices.UsageReport) -> None:
        """Replace the previous report of another host."""
        now = self._clock.monotonic()
        reported_at, before = self._reports_by_host_id.get(host_id, (now, {}))
        factor = math.exp((reported_at - now) / DECAY_S)
        latest = {
            usage.subscriber_id: max(0.0, usage.seconds)
            for usage in report.usages[:MAX_REPORTED_SUBSCRIBERS]
        }
        for subscriber_id in before.keys() | latest.keys():
            usage = self._decayed_usage(subscriber_id)
            change = latest.get(subscriber_id, 0.0)
            change -= before.get(subscriber_id, 0.0) * factor
            usage.total = max(usage.own, usage.total + change)
        self._reports_by_host_id[host_id] = (now, latest)

    def _share(self, subscriber_id: str) -> float:
        return self._shares_by_id.get(subscriber_id, 1.0)

    def _decayed_usage(self, subscriber_id: str) -> _DecayedUsage:
        now = self._clock.monotonic()
        usage = self._usage_by_id.get(subscriber_id)
        if usage is None:
            usage = _DecayedUsage(total=0.0, own=0.0, updated_at=now)
            self._usage_by_id[subscriber_id] = usage
        else:
            usage.decay_to(now)
        return usage

    def _usage_per_share(self, subscriber_id: str) -> float:
        usage = self._usage_by_id.get(subscriber_id)
        if usage is None:
            return 0.0
        usage.decay_to(self._clock.monotonic())
        return usage.total / self._share(subscriber_id)

    def _max_usage_per_share(self, subscriber_id: str) -> float:
        self._refresh_totals()
        seconds = self._active_seconds
        shares = self._active_shares
        own = self._active_seconds_by_id.get(subscriber_id)
        if own is not None:
            seconds -= own
            shares -= self._share(subscriber_id)
        if seconds < _MIN_ACTIVE_S or shares <= 0.0:
            return 0.0
        return OVER_SHARE_FACTOR * seconds / shares

    def _refresh_totals(self) -> None:
        now = self._clock.monotonic()
        if now - self._totals_at < _TOTALS_MAX_AGE_S:
            return
        for usage in self._usage_by_id.values():
            usage.decay_to(now)
        self._active_seconds_by_id = {
            subscriber_id: usage.total
            for subscriber_id, usage in self._usage_by_id.items()
            if usage.total >= _MIN_ACTIVE_S
        }
        self._active_seconds = sum(self._active_seconds_by_id.values())
        self._active_shares = sum(map(self._share, self._active_seconds_by_id))
        self._totals_at = now

    def _drop_idle(self) -> None:
        now = self._clock.monotonic()
        for usage in self._usage_by_id.values():
            usage.decay_to(now)
        idle = [
            subscriber_id
            for subscriber_id, usage in self._usage_by_id.items()
            if usage.total < _MIN_KEPT_S
        ]
        for subscriber_id in idle:
            del self._usage_by_id[subscriber_id]
            self._throttled_at_by_id.pop(subscriber_id, None)
