"""Choice of an upstream among the replicas of a shard.

Replicas that fail or straggle are set aside, but never all of them: a bad
signal must not empty a shard. Among the fit ones the own availability zone
comes first while it has a free slot; then power of two choices (Mitzenmacher
2001), so that hosts that see alike do not all pick the same upstream.

A replica that was set aside gets no caller's work, so nothing would show that
it is well again. It gets probes: a second copy of a sub-request that another
replica answers.
"""

import dataclasses
from collections import abc

from greengagehaven import rng as rng_module
from greengagehaven.coordination import ownership, upstream_stats
from greengagehaven.protocol import upstream

_CHOICES = 2
_SLOW_RATIO = 1.5
_SLOW_LEAST = 2.0
_OTHER_ZONE_COST = 1.25
_NEAR_RATIO = 1.5
_BLUR = 0.1
_FORGIVE_S = 5.0
_PROBE_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A replica and what this host has seen of it."""

    announcement: upstream.Announcement
    stats: upstream_stats.UpstreamStats

    @property
    def id(self) -> str:
        """Return the id of the upstream."""
        return self.announcement.id


class Selector:
    """Chooses among candidates by the options of this host.

    :param zone: own availability zone, preferred; ``None`` for no preference.
    :param ejection: whether to set aside those that fail or straggle.
    :param owners: who sends to each upstream.
    """

    def __init__(
        self,
        *,
        rng: rng_module.Rng,
        zone: str | None,
        ejection: bool,
        owners: ownership.Ownership,
    ) -> None:
        self._rng = rng
        self._zone = zone
        self._ejection = ejection
        self._owners = owners

    def shuffle(self, items: list) -> None:
        """Bring a list into a random order."""
        self._rng.shuffle(items)

    def fit(
        self, candidates: abc.Sequence[Candidate], now: float
    ) -> abc.Sequence[Candidate]:
        """Return those that neither fail nor straggle; all, if none is fit."""
        if not self._ejection or len(candidates) < 2:
            return candidates
        alive = [each for each in candidates if not each.stats.is_failing(now)]
        slowness = [
            known
            for each in alive
            if (known := each.stats.expected_slowness(now)) is not None
        ]
        if not slowness:
            return alive or candidates
        bound = max(_SLOW_LEAST, _SLOW_RATIO * min(slowness))
        fit = [each for each in alive if self._is_within(each, bound, now)]
        return fit or candidates

    def choose(self, candidates: abc.Sequence[Candidate], now: float) -> Candidate:
        """Return one of ``candidates`` (not empty)."""
        if len(candidates) == 1:
            return candidates[0]
        scored = [(self._cost(each, now), each) for each in candidates]
        pool = self._nearby(scored, now) or scored
        if len(pool) <= _CHOICES:
            sampled = list(pool)
            self._rng.shuffle(sampled)
        else:
            sampled = self._rng.sample(pool, _CHOICES)
        return min(sampled, key=self._blur)[1]

    def _blur(self, scored: tuple[float, Candidate]) -> float:
        # Replicas that do alike would differ by rounding only, and every host
        # would send all its work to the same one.
        return scored[0] * (1.0 + _BLUR * self._rng.random())

    def probe_target(
        self,
        candidates: abc.Sequence[Candidate],
        fit: abc.Sequence[Candidate],
        now: float,
    ) -> Candidate | None:
        """Return a replica that was set aside and is due for a probe."""
        # All hosts probe; together they must not fill the upstream.
        interval = _PROBE_INTERVAL_S * len(self._owners.host_ids)
        for each in candidates:
            stats = each.stats
            if stats.in_flight or each in fit:
                continue
            if now - stats.probed_at >= interval:
                return each
        return None

    def _nearby(
        self, scored: abc.Sequence[tuple[float, Candidate]], now: float
    ) -> list[tuple[float, Candidate]]:
        """Return those of the own zone that cost hardly more than any other."""
        if self._zone is None:
            return []
        most = _NEAR_RATIO * min(cost for cost, _ in scored)
        return [
            (cost, each)
            for cost, each in scored
            if cost <= most and self._is_near_and_free(each, now)
        ]

    def _is_near_and_free(self, candidate: Candidate, now: float) -> bool:
        announcement = candidate.announcement
        if announcement.availability_zone != self._zone:
            return False
        if candidate.stats.is_doubtful(now):
            return False
        return candidate.stats.load(now) < announcement.slots

    def _cost(self, candidate: Candidate, now: float) -> float:
        announcement = candidate.announcement
        cost = candidate.stats.cost(now, announcement.slots)
        if self._zone is None or announcement.availability_zone == self._zone:
            return cost
        return cost * _OTHER_ZONE_COST

    def _is_within(self, candidate: Candidate, bound: float, now: float) -> bool:
        stats = candidate.stats
        slowness = stats.expected_slowness(now)
        if slowness is not None and slowness <= bound:
            return True
        if slowness is None and not stats.is_fresh:
            return True
        # One that may be cold is tried by its owner first, by the other hosts
        # with probes.
        if stats.is_untried and self._owners.is_mine(candidate.announcement):
            return True
        # Where nothing can be probed, because no kind is idempotent, only time
        # brings an upstream back.
        return not stats.in_flight and now - stats.seen_at > _FORGIVE_S
