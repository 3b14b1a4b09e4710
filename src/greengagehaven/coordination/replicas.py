"""Replica statistics of this host, and the replicas that may get a sub-request."""

import dataclasses
from collections import abc

from greengagehaven import clock as clock_module
from greengagehaven.coordination import limits, selection, upstream_stats
from greengagehaven.protocol import upstream
from greengagehaven.state import directory

# Upstreams discovered this soon after the start of the host are assumed to be warm.
_STARTUP_S = 10.0
# Failures that do not reflect the health of the upstream.
_IGNORED_FAILURES = frozenset(
    {
        upstream.FailureReason.CANCELLED,
        upstream.FailureReason.OWNER_LOST,
        upstream.FailureReason.WRONG_VERSION,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EligibleReplicas:
    """Replicas that a sub-request may be sent to now.

    :param available: fit replicas with free capacity; empty if the sub-request has to
        wait.
    :param probe: an unfit replica that is due for a probe.
    :param over_share_slots_by_id: slots by upstream id that it may use if its
        subscriber is over its share; empty if it may use all.
    """

    available: list[selection.Candidate]
    probe: selection.Candidate | None = None
    over_share_slots_by_id: abc.Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )


class Replicas:
    """Statistics of each upstream as observed by this host, and selection by them.

    :param directory: the live upstreams.
    :param upstream_limits: limits of this host for each upstream.
    :param selector: filters out unfit replicas and chooses among the others.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        directory: directory.DirectoryView,
        upstream_limits: limits.UpstreamLimits,
        selector: selection.Selector,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._limits = upstream_limits
        self._selector = selector
        self._startup_ends = clock.monotonic() + _STARTUP_S
        self._stats_by_id: dict[str, upstream_stats.UpstreamStats] = {}
        self._candidates_by_ids: dict[
            tuple[str, ...], tuple[selection.Candidate, ...]
        ] = {}

    @property
    def stats_by_id(self) -> abc.Mapping[str, upstream_stats.UpstreamStats]:
        """Return the statistics of each upstream."""
        return self._stats_by_id

    def find_eligible(self, upstream_ids: tuple[str, ...]) -> EligibleReplicas:
        """Return where a sub-request that any of these upstreams can answer may go."""
        candidates = self._candidates(upstream_ids)
        if not candidates:
            return EligibleReplicas(available=[])
        now = self._clock.monotonic()
        fit = self._selector.filter_fit(candidates, now)
        with_capacity = [
            each
            for each in fit
            if self._limits.has_capacity(each.announcement, each.stats, now)
        ]
        probe = None
        if with_capacity and len(fit) < len(candidates):
            probe = self._selector.select_probe(candidates, fit, now)
        return EligibleReplicas(available=with_capacity, probe=probe)

    def without_ejected(
        self, upstream_ids: tuple[str, ...]
    ) -> list[selection.Candidate]:
        """Return the replicas that are not ejected for failures; all, if none is left.

        Stragglers are included: hosts observe them differently, and an order over these
        replicas must be the same on all hosts.
        """
        now = self._clock.monotonic()
        candidates = self._candidates(upstream_ids)
        alive = [each for each in candidates if not each.stats.is_ejected(now)]
        return alive or list(candidates)

    def find_eligible_over_share(
        self, upstream_ids: tuple[str, ...], slots_by_id: abc.Mapping[str, int]
    ) -> EligibleReplicas:
        """Return where a sub-request of a subscriber over its share may go now.

        :param slots_by_id: slots of the shard that are available to it, by upstream id.
        """
        with_capacity = [
            each
            for each in self._candidates(upstream_ids)
            if len(each.stats.over_share_ids) < slots_by_id.get(each.id, 0)
        ]
        return EligibleReplicas(
            available=with_capacity, over_share_slots_by_id=slots_by_id
        )

    def choose(self, eligible: EligibleReplicas) -> selection.Candidate:
        """Return the replica to send to; at least one must have free capacity."""
        return self._selector.choose(eligible.available, self._clock.monotonic())

    def complete_attempt(
        self,
        attempt_id: tuple[str, int],
        incarnation: int,
        outcome: upstream.Outcome,
        slowness: float,
        *,
        is_probe: bool = False,
    ) -> None:
        """Remove an attempt from those in flight and update the statistics.

        :param slowness: its duration in multiples of the usual latency.
        """
        stats = self._stats_by_id.get(outcome.upstream_id)
        if stats is None or stats.incarnation != incarnation:
            return
        now = self._clock.monotonic()
        if isinstance(outcome, upstream.Replied) and outcome.within_share is not None:
            over_share = outcome.over_share or 0.0
            stats.record_shares(outcome.within_share, over_share, now)
        if attempt_id in stats.over_share_ids:
            # It may have been queued at the owner behind all others, so its
            # latency does not reflect the upstream.
            stats.over_share_ids.discard(attempt_id)
            if isinstance(outcome, upstream.Replied):
                return
        stats.in_flight_by_id.pop(attempt_id, None)
        stats.update_in_flight_average(now)
        if is_probe and isinstance(outcome, upstream.Replied):
            stats.reset_slowness()
        _update_stats(stats, outcome, slowness, now)

    def shuffle(self, items: list) -> None:
        """Shuffle a list in place."""
        self._selector.shuffle(items)

    def on_upstreams_changed(self) -> None:
        """Reload the directory; remove the statistics of departed upstreams."""
        self._candidates_by_ids.clear()
        live = self._directory.upstreams_by_id
        for upstream_id in [each for each in self._stats_by_id if each not in live]:
            del self._stats_by_id[upstream_id]

    def _candidates(
        self, upstream_ids: tuple[str, ...]
    ) -> tuple[selection.Candidate, ...]:
        candidates = self._candidates_by_ids.get(upstream_ids)
        if candidates is None:
            candidates = tuple(
                selection.Candidate(
                    announcement=announcement, stats=self._stats_of(announcement)
                )
                for upstream_id in upstream_ids
                if (announcement := self._directory.upstreams_by_id.get(upstream_id))
            )
            self._candidates_by_ids[upstream_ids] = candidates
        return candidates

    def _stats_of(
        self, announcement: upstream.Announcement
    ) -> upstream_stats.UpstreamStats:
        stats = self._stats_by_id.get(announcement.id)
        if stats is None or stats.incarnation != announcement.incarnation:
            now = self._clock.monotonic()
            stats = upstream_stats.UpstreamStats(
                incarnation=announcement.incarnation,
                known_since=now,
                is_fresh=stats is not None or now > self._startup_ends,
            )
            self._stats_by_id[announcement.id] = stats
        return stats


def _update_stats(
    stats: upstream_stats.UpstreamStats,
    outcome: upstream.Outcome,
    slowness: float,
    now: float,
) -> None:
    if isinstance(outcome, upstream.Replied):
        stats.record_reply(slowness, now)
        if outcome.load is not None:
            stats.record_load(outcome.load.in_flight + outcome.load.queued, now)
        return
    stats.record_abandoned(slowness, now)
    if outcome.reason is upstream.FailureReason.TIMEOUT and outcome.not_run:
        return
    if outcome.reason not in _IGNORED_FAILURES:
        stats.record_failure(now)
