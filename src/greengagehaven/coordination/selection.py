"""Selection of an upstream among the replicas of a shard.

Replicas that fail or straggle are unfit and filtered out, but never all of them: a
wrong signal must not leave a shard without replicas. Among the fit ones, the own
availability zone is preferred while it has a free slot; then power of two choices
applies (Mitzenmacher 2001), so that hosts with the same view do not all choose the same
upstream.

An unfit replica gets no regular sub-requests, so nothing would show its recovery. It
gets probes instead: a second copy of a sub-request that another replica answers.
"""

import dataclasses
from collections import abc

from greengagehaven import rng as rng_module
from greengagehaven.coordination import ownership, upstream_stats
from greengagehaven.protocol import upstream

_SAMPLE_SIZE = 2
_SLOW_RATIO = 1.5
_MIN_SLOW_BOUND = 2.0
_CROSS_ZONE_COST_FACTOR = 1.25
_MAX_SAME_ZONE_COST_RATIO = 1.5
_MAX_JITTER = 0.1
_UNFIT_TIMEOUT_S = 5.0
_PROBE_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A replica and its statistics on this host."""

    announcement: upstream.Announcement
    stats: upstream_stats.UpstreamStats

    @property
    def id(self) -> str:
        """Return the id of the upstream."""
        return self.announcement.id


class Selector:
    """Selects among the replicas of a shard.

    :param zone: own availability zone, which is preferred; ``None`` for no preference.
    :param ejection: whether to filter out replicas that fail or straggle.
    :param owners: the owner of each upstream.
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
        """Shuffle a list in place."""
        self._rng.shuffle(items)

    def filter_fit(
        self, candidates: abc.Sequence[Candidate], now: float
    ) -> abc.Sequence[Candidate]:
        """Return the candidates that neither fail nor straggle; all, if none is fit."""
        if not self._ejection or len(candidates) < 2:
            return candidates
        alive = [each for each in candidates if not each.stats.is_ejected(now)]
        slowness = [
            known
            for each in alive
            if (known := each.stats.expected_slowness(now)) is not None
        ]
        if not slowness:
            return alive or candidates
        bound = max(_MIN_SLOW_BOUND, _SLOW_RATIO * min(slowness))
        fit = [each for each in alive if self._is_fit(each, bound, now)]
        return fit or candidates

    def choose(self, candidates: abc.Sequence[Candidate], now: float) -> Candidate:
        """Return one of ``candidates``, which must not be empty."""
        if len(candidates) == 1:
            return candidates[0]
        scored = [(self._cost(each, now), each) for each in candidates]
        pool = self._same_zone(scored, now) or scored
        if len(pool) <= _SAMPLE_SIZE:
            sampled = list(pool)
            self._rng.shuffle(sampled)
        else:
            sampled = self._rng.sample(pool, _SAMPLE_SIZE)
        return min(sampled, key=self._jittered_cost)[1]

    def _jittered_cost(self, scored: tuple[float, Candidate]) -> float:
        # Equal replicas differ in cost by rounding only; without jitter every host
        # would send all its sub-requests to the same one.
        return scored[0] * (1.0 + _MAX_JITTER * self._rng.random())

    def select_probe(
        self,
        candidates: abc.Sequence[Candidate],
        fit: abc.Sequence[Candidate],
        now: float,
    ) -> Candidate | None:
        """Return an unfit replica that is due for a probe, ``None`` if none is."""
        # All hosts probe, so the interval grows with their number to keep the
        # total probe load on the upstream constant.
        interval = _PROBE_INTERVAL_S * len(self._owners.host_ids)
        for each in candidates:
            stats = each.stats
            if stats.in_flight or each in fit:
                continue
            if now - stats.probed_at >= interval:
                return each
        return None

    def _same_zone(
        self, scored: abc.Sequence[tuple[float, Candidate]], now: float
    ) -> list[tuple[float, Candidate]]:
        """Return the free ones of the own zone with a cost close to the lowest."""
        if self._zone is None:
            return []
        max_cost = _MAX_SAME_ZONE_COST_RATIO * min(cost for cost, _ in scored)
        return [
            (cost, each)
            for cost, each in scored
            if cost <= max_cost and self._is_same_zone_and_free(each, now)
        ]

    def _is_same_zone_and_free(self, candidate: Candidate, now: float) -> bool:
        announcement = candidate.announcement
        if announcement.availability_zone != self._zone:
            return False
        if candidate.stats.has_recent_failures(now):
            return False
        return candidate.stats.load(now) < announcement.slots

    def _cost(self, candidate: Candidate, now: float) -> float:
        announcement = candidate.announcement
        cost = candidate.stats.cost(now, announcement.slots)
        if self._zone is None or announcement.availability_zone == self._zone:
            return cost
        return cost * _CROSS_ZONE_COST_FACTOR

    def _is_fit(self, candidate: Candidate, bound: float, now: float) -> bool:
        stats = candidate.stats
        slowness = stats.expected_slowness(now)
        if slowness is not None and slowness <= bound:
            return True
        if slowness is None and not stats.is_fresh:
            return True
        # A replica that may be cold is first used by its owner; the other hosts
        # only probe it.
        if stats.is_untried and self._owners.is_owned_here(candidate.announcement):
            return True
        # Without idempotent kinds there are no probes, so an unfit replica only
        # becomes fit again by a timeout.
        return not stats.in_flight and now - stats.last_observed_at > _UNFIT_TIMEOUT_S
