"""How much upstream time each subscriber has lately used, on all hosts.

Usage is measured time at upstreams, not a count of queries, so that costly and
cheap queries weigh what they cost. It decays exponentially: what a subscriber
used while nobody else wanted the capacity is soon forgotten. Each host tells
its own part to the others, so that a subscriber that spreads over all hosts is
seen as one.
"""

import dataclasses
import math
import typing
from collections import abc

from greengagehaven import clock as clock_module
from greengagehaven.protocol import notices

DECAY_S = 1.0
REPORT_INTERVAL_S = 0.25
MAX_REPORTED = 32
OVER_SHARE_FACTOR = 1.5
HELD_S = 1.0

_STILL_OVER_RATIO = 0.25

_ACTIVE_S = 1e-4
_FLOOR_S = 1e-6
_FORGET_S = 1e-5
_SUM_MAX_AGE_S = 0.02
_MIN_RETRY_AFTER_S = 0.1
_FIRST_COST_S = 0.005
_COST_WEIGHT = 0.1
_MAX_COSTS = 10_000


class UsageOrder(typing.Protocol):
    """Ranks subscribers by how much of their share they have used."""

    def rank(self, subscriber_id: str) -> float:
        """Return a number; the subscriber with the smallest goes first.

        Between charges it keeps its value, so it can stand in a heap.
        """


@dataclasses.dataclass(kw_only=True, slots=True)
class _Decaying:
    """Seconds of upstream time as of a moment.

    :param own: the part of ``total`` that went through this host.
    """

    total: float
    own: float
    moment: float

    def settle(self, now: float) -> None:
        """Bring the amounts to ``now``."""
        factor = math.exp((self.moment - now) / DECAY_S)
        self.total *= factor
        self.own *= factor
        self.moment = now


class UsageLedger:
    """Usage of all subscribers, decayed, measured here and reported by others.

    Its size is bounded: a subscriber whose usage has decayed to nothing is
    dropped, and each other host reports ``MAX_REPORTED`` subscribers at most.

    :param clock: time; only ``monotonic`` is read.
    """

    def __init__(self, *, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._shares_by_id: abc.Mapping[str, float] = {}
        self._usage_by_id: dict[str, _Decaying] = {}
        self._reports_by_host_id: dict[str, tuple[float, dict[str, float]]] = {}
        self._cost_by_use: dict[tuple[str, str], float] = {}
        self._cost_by_kind: dict[str, float] = {}
        self._held_at_by_id: dict[str, float] = {}
        self._active_seconds_by_id: dict[str, float] = {}
        self._active_seconds = 0.0
        self._active_shares = 0.0
        self._summed_at = -math.inf

    def __len__(self) -> int:
        return len(self._usage_by_id)

    def set_shares(self, shares_by_id: abc.Mapping[str, float]) -> None:
        """Take the subscribers' shares from the document in force."""
        self._shares_by_id = shares_by_id

    def set_hosts(self, host_ids: abc.Iterable[str]) -> None:
        """Forget what hosts reported that are gone."""
        live = set(host_ids)
        for host_id in [
            known for known in self._reports_by_host_id if known not in live
        ]:
            self.take_report(host_id, notices.UsageReport(usages=()))
            del self._reports_by_host_id[host_id]

    def estimate(self, subscriber_id: str, kind: str) -> float:
        """Return what a sub-request will probably cost, in seconds."""
        usual = self._cost_by_kind.get(kind, _FIRST_COST_S)
        return self._cost_by_use.get((subscriber_id, kind), usual)

    def charge(self, subscriber_id: str, seconds: float) -> None:
        """Add upstream time to what a subscriber used through this host.

        :param seconds: negative to take back what was estimated too high.
        """
        usage = self._settled(subscriber_id)
        usage.total = max(0.0, usage.total + seconds)
        usage.own = max(0.0, usage.own + seconds)

    def learn(self, subscriber_id: str, kind: str, seconds: float) -> None:
        """Take in what a sub-request did cost, for later estimates."""
        use = (subscriber_id, kind)
        if use not in self._cost_by_use and len(self._cost_by_use) >= _MAX_COSTS:
            self._cost_by_use.clear()
        known = self._cost_by_use.get(use, seconds)
        self._cost_by_use[use] = known + _COST_WEIGHT * (seconds - known)
        if kind not in self._cost_by_kind and len(self._cost_by_kind) >= _MAX_COSTS:
            self._cost_by_kind.clear()
        usual = self._cost_by_kind.get(kind, seconds)
        self._cost_by_kind[kind] = usual + _COST_WEIGHT * (seconds - usual)

    def rank(self, subscriber_id: str) -> float:
        """Return the logarithm of usage by share, in units that do not decay.

        All usage decays by the same factor, so the order of two subscribers
        only changes with a charge. Time is added to the logarithm in place of
        the decay, which keeps ranks comparable that were taken at different
        times. Without usage it is the same for all, whatever the time.
        """
        usage = self._usage_by_id.get(subscriber_id)
        if usage is None or usage.total < _FLOOR_S:
            return -math.inf
        level = usage.total / self._share(subscriber_id)
        return usage.moment / DECAY_S + math.log(level)

    def is_over_share(self, subscriber_id: str) -> bool:
        """Tell whether a subscriber has used clearly more than its share.

        It is held against what the others used that were lately active, each by
        its share; a subscriber that is alone is never over its share.
        """
        bound = self._allowed_level(subscriber_id)
        if self.was_held(subscriber_id):
            # Held back it uses little. Let go for that, it would take all the
            # slots at once and be held back again.
            bound *= _STILL_OVER_RATIO
        return bound > 0.0 and self._level(subscriber_id) > bound

    def note_held(self, subscriber_id: str) -> None:
        """Take in that a subscriber over its share was refused or made to wait."""
        self._held_at_by_id[subscriber_id] = self._clock.monotonic()

    def was_held(self, subscriber_id: str) -> bool:
        """Tell whether :meth:`note_held` was called within ``HELD_S``."""
        held_at = self._held_at_by_id.get(subscriber_id, -math.inf)
        return self._clock.monotonic() - held_at < HELD_S

    def count_over_share(self) -> int:
        """Return how many subscribers are over their share."""
        return sum(map(self.is_over_share, list(self._usage_by_id)))

    def share_of_all(self, subscriber_id: str) -> float:
        """Return a subscriber's part of the shares of all that were active."""
        self._sum_up()
        own = self._share(subscriber_id)
        shares = self._active_shares
        if subscriber_id not in self._active_seconds_by_id:
            shares += own
        return own / shares

    def seconds_until_fair(self, subscriber_id: str) -> float:
        """Return after how long of rest a subscriber is back at its share."""
        level = self._level(subscriber_id)
        bound = self._allowed_level(subscriber_id)
        if level <= 0.0 or bound <= 0.0:
            return _MIN_RETRY_AFTER_S
        return max(_MIN_RETRY_AFTER_S, DECAY_S * math.log(level / bound))

    def make_report(self) -> notices.UsageReport:
        """Return what the heaviest subscribers used through this host."""
        self._forget_idle()
        heaviest = sorted(
            self._usage_by_id.items(), key=lambda item: item[1].own, reverse=True
        )
        return notices.UsageReport(
            usages=tuple(
                notices.SubscriberUsage(subscriber_id, round(usage.own, 6))
                for subscriber_id, usage in heaviest[:MAX_REPORTED]
                if usage.own >= _ACTIVE_S
            )
        )

    def take_report(self, host_id: str, report: notices.UsageReport) -> None:
        """Replace what another host reported before."""
        now = self._clock.monotonic()
        reported_at, before = self._reports_by_host_id.get(host_id, (now, {}))
        factor = math.exp((reported_at - now) / DECAY_S)
        latest = {
            usage.subscriber_id: max(0.0, usage.seconds)
            for usage in report.usages[:MAX_REPORTED]
        }
        for subscriber_id in before.keys() | latest.keys():
            usage = self._settled(subscriber_id)
            change = latest.get(subscriber_id, 0.0)
            change -= before.get(subscriber_id, 0.0) * factor
            usage.total = max(usage.own, usage.total + change)
        self._reports_by_host_id[host_id] = (now, latest)

    def _share(self, subscriber_id: str) -> float:
        return self._shares_by_id.get(subscriber_id, 1.0)

    def _settled(self, subscriber_id: str) -> _Decaying:
        now = self._clock.monotonic()
        usage = self._usage_by_id.get(subscriber_id)
        if usage is None:
            usage = _Decaying(total=0.0, own=0.0, moment=now)
            self._usage_by_id[subscriber_id] = usage
        else:
            usage.settle(now)
        return usage

    def _level(self, subscriber_id: str) -> float:
        usage = self._usage_by_id.get(subscriber_id)
        if usage is None:
            return 0.0
        usage.settle(self._clock.monotonic())
        return usage.total / self._share(subscriber_id)

    def _allowed_level(self, subscriber_id: str) -> float:
        self._sum_up()
        seconds = self._active_seconds
        shares = self._active_shares
        own = self._active_seconds_by_id.get(subscriber_id)
        if own is not None:
            seconds -= own
            shares -= self._share(subscriber_id)
        if seconds < _ACTIVE_S or shares <= 0.0:
            return 0.0
        return OVER_SHARE_FACTOR * seconds / shares

    def _sum_up(self) -> None:
        now = self._clock.monotonic()
        if now - self._summed_at < _SUM_MAX_AGE_S:
            return
        for usage in self._usage_by_id.values():
            usage.settle(now)
        self._active_seconds_by_id = {
            subscriber_id: usage.total
            for subscriber_id, usage in self._usage_by_id.items()
            if usage.total >= _ACTIVE_S
        }
        self._active_seconds = sum(self._active_seconds_by_id.values())
        self._active_shares = sum(map(self._share, self._active_seconds_by_id))
        self._summed_at = now

    def _forget_idle(self) -> None:
        now = self._clock.monotonic()
        for usage in self._usage_by_id.values():
            usage.settle(now)
        idle = [
            subscriber_id
            for subscriber_id, usage in self._usage_by_id.items()
            if usage.total < _FORGET_S
        ]
        for subscriber_id in idle:
            del self._usage_by_id[subscriber_id]
            self._held_at_by_id.pop(subscriber_id, None)
