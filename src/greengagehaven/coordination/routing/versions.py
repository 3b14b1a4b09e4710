"""Selects which versions of a service's software get a request from this host.

During a roll-out over many hosts, each host sees a request to a given shard only once
in some seconds. A share counted by each host on its own would amount to no requests or
far too many. So each request is sampled at random, and the sum over all hosts keeps to
the share without coordination. The sampling probability also includes a part of the
slack of ``ExposureLimit``, spread over the requests that the service is expected to get
during the roll-out's duration.
"""

import collections
import dataclasses
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import log
from greengagehaven import rng as rngs
from greengagehaven.coordination.rollouts import sequential_test
from greengagehaven.coordination.routing import events, request, upstreams
from greengagehaven.protocol import rollouts, watching

CANARY_EXPOSURE_SHARE = 0.3
"""Share of the requests allowed to an unproved version that the canary phase uses; the
rest is reserved for the first second under full load."""

MAX_CANARY_SHARE = 0.25
"""Maximum share of a service's requests that go to the canary, however few they are."""

CANARY_UPSTREAMS = 2
"""Upstreams of the target version that get the canary's requests. So few get a load
like that of the other upstreams, under which some versions fail; more of them would be
idle. With only one, a bad version could not be told apart from a slow upstream."""

BAD_LATENCY_RATIO = 2.5
"""Multiples of the usual latency above which an answer counts as bad. Work varies by a
third, and a version that is considered slow takes several times as long."""

Candidates = tuple[list[upstreams.Upstream], ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExposureLimit:
    """Limit of the requests that all hosts may send to an unproved version.

    :param share: of the service's requests since the roll-out was ordered.
    :param slack: requests allowed in addition.
    """

    share: float = 0.1
    slack: float = 50.0


class VersionSelector:
    """Applies the roll-outs of all services, and tallies the outcomes by version.

    :param exposure_limit: limit of requests to an unproved version.
    :param demand: returns the requests a second to a service, over all hosts.
    :param clock: monotonic time.
    :param rng: samples the requests that go to a canary.
    """

    def __init__(
        self,
        *,
        exposure_limit: ExposureLimit,
        demand: abc.Callable[[str], float],
        clock: clocks.Clock,
        rng: rngs.Rng,
    ) -> None:
        self._exposure_limit = exposure_limit
        self._demand = demand
        self._clock = clock
        self._rng = rng
        self._rollouts_by_service: dict[str, rollouts.Rollout] = {}
        self._trackers_by_service: dict[str, _RolloutTracker] = {}
        self._is_acknowledged = True

    def set_rollouts(self, latest: abc.Iterable[rollouts.Rollout]) -> None:
        """Apply the latest roll-out of each service."""
        self._rollouts_by_service = {each.service: each for each in latest}
        for service, rollout in self._rollouts_by_service.items():
            tracker = self._trackers_by_service.get(service)
            if rollout.phase.is_final:
                self._trackers_by_service.pop(service, None)
            elif tracker is None or tracker.number != rollout.number:
                self._trackers_by_service[service] = _RolloutTracker(
                    number=rollout.number, version=rollout.version
                )

    def set_acknowledged(self, is_acknowledged: bool) -> None:
        """Record whether control hosts acknowledge this host's reports.

        A host that is cut off from them would not learn that a version was found bad,
        and its own tallies would be ignored, so it sends no canary requests.
        """
        if is_acknowledged is not self._is_acknowledged:
            log.info("rollout_reports", acknowledged=is_acknowledged)
        self._is_acknowledged = is_acknowledged

    def candidates(
        self, service: str, known: list[upstreams.Upstream], *, is_first: bool = True
    ) -> Candidates:
        """Return groups of upstreams that may get a request, the preferred group first.

        :param known: all available upstreams of the service.
        :param is_first: whether this is the request's first attempt. A further attempt
            is the last chance to answer the caller and goes to a proved version.
        """
        rollout = self._rollouts_by_service.get(service)
        if rollout is None:
            return _established(known)
        target = [each for each in known if each.entry.version == rollout.version]
        others = [each for each in known if each.entry.version != rollout.version]
        match rollout.phase:
            case rollouts.Phase.CANARY:
                if is_first and self._is_sampled(rollout):
                    return _canaries(target), others
                return (others,)
            case rollouts.Phase.SHIFTED:
                if self._trackers_by_service[service].is_stopped:
                    return (others,)
                return target, others
            case rollouts.Phase.RETIRING:
                return (target,)
            case rollouts.Phase.DONE:
                # Upstreams of another version are started only if the software is
                # changed without a roll-out.
                return (target or others,)
            case _:
                return (others,)

    def record(
        self, attempt: request.Attempt, outcome: events.Replied | events.Failed
    ) -> None:
        """Tally the outcome of an attempt if its service has a roll-out in progress."""
        tracker = self._trackers_by_service.get(attempt.shard.service)
        if tracker is None:
            return
        now = self._clock.monotonic()
        is_bad = _is_bad(attempt, outcome, now)
        if is_bad is None:
            return
        was_stopped = tracker.is_stopped
        tracker.count(attempt.request.route.name, attempt.upstream.entry, is_bad)
        if tracker.is_stopped and not was_stopped:
            log.warning(
                "rollout_stopped_here",
                service=attempt.shard.service,
                version=tracker.version,
                rollout=tracker.number,
            )

    def reports(
        self, in_flight: abc.Callable[[str, str], int]
    ) -> tuple[rollouts.ServiceReport, ...]:
        """Return this host's report on each roll-out in progress.

        :param in_flight: returns the number of attempts in flight to a service's
            upstreams of all versions but the given one.
        """
        return tuple(
            rollouts.ServiceReport(
                service=service,
                number=tracker.number,
                phase=self._rollouts_by_service[service].phase,
                others_in_flight=in_flight(service, tracker.version),
                answer_counts=tracker.tallies(),
            )
            for service, tracker in sorted(self._trackers_by_service.items())
        )

    def _is_sampled(self, rollout: rollouts.Rollout) -> bool:
        """Return whether a request is sampled for the canary."""
        if (
            not self._is_acknowledged
            or self._trackers_by_service[rollout.service].is_stopped
        ):
            return False
        requests = max(1.0, self._demand(rollout.service) * rollout.duration_s)
        share = CANARY_EXPOSURE_SHARE * (
            self._exposure_limit.share + self._exposure_limit.slack / requests
        )
        return self._rng.random() < min(MAX_CANARY_SHARE, share)


class _RolloutTracker:
    """Tallies of one roll-out's outcomes on this host."""

    def __init__(self, *, number: int, version: str) -> None:
        self.number = number
        self.version = version
        self.is_stopped = False
        self._test = sequential_test.SequentialTest()
        self._counts: collections.defaultdict[tuple[str, str], list[int]] = (
            collections.defaultdict(lambda: [0, 0])
        )

    def count(self, route: str, entry: watching.UpstreamEntry, is_bad: bool) -> None:
        """Tally an answer; stop using the version if the tallies prove it bad."""
        is_target = entry.version == self.version
        tested_id = entry.id if is_target else ""
        tally = self._counts[route, tested_id]
        tally[0] += 1
        tally[1] += is_bad
        self._test.add(
            rollouts.AnswerCounts(
                route=route, upstream_id=tested_id, answers=1, bad=int(is_bad)
            )
        )
        if is_target and is_bad and not self.is_stopped:
            self.is_stopped = self._test.verdict().is_bad

    def tallies(self) -> tuple[rollouts.AnswerCounts, ...]:
        """Return the tallies by route and upstream.

        Upstreams of other versions are tallied together, with an empty id.
        """
        return tuple(
            rollouts.AnswerCounts(
                route=route, upstream_id=upstream_id, answers=answers, bad=bad
            )
            for (route, upstream_id), (answers, bad) in sorted(self._counts.items())
        )


def _canaries(target: list[upstreams.Upstream]) -> list[upstreams.Upstream]:
    """Return the canary upstreams, which are the same on all hosts."""
    ranked = sorted(target, key=lambda each: (each.entry.incarnation, each.entry.id))
    return ranked[:CANARY_UPSTREAMS]


def _established(known: list[upstreams.Upstream]) -> Candidates:
    """Return the upstreams to use while no roll-out is known.

    Upstreams of a new version may be announced before their roll-out is. The version in
    service is that of the upstream which started first. The others get no requests
    until they outnumber those of that version, which means that upstreams are being
    replaced without a roll-out.
    """
    if len({each.entry.version for each in known}) < 2:
        return (known,)
    version = min(known, key=lambda each: each.entry.incarnation).entry.version
    established = [each for each in known if each.entry.version == version]
    if 2 * len(established) >= len(known):
        return (established,)
    return (known,)


def _is_bad(
    attempt: request.Attempt, outcome: events.Replied | events.Failed, now: float
) -> bool | None:
    """Return whether an answer is bad, ``None`` if it doesn't depend on the version."""
    is_cold = now < attempt.upstream.cold_until
    if isinstance(outcome, events.Replied):
        if outcome.not_run or 300 <= outcome.status < 500:
            return None
        if not outcome.is_success:
            return True
        took = now - attempt.sent_at if outcome.took is None else outcome.took
        is_slow = took > BAD_LATENCY_RATIO * attempt.typical_latency
        return None if is_slow and is_cold else is_slow
    if outcome.fault is events.Fault.CANCELLED:
        # The attempt was cancelled as its answer was no longer needed. It says
        # something about the version only if it had taken long already.
        is_slow = now - attempt.sent_at > BAD_LATENCY_RATIO * attempt.typical_latency
        return True if is_slow and not is_cold else None
    if outcome.fault in (events.Fault.LOST, events.Fault.MALFORMED):
        return True
    return None
