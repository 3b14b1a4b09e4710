"""Which versions of a service's software may get a request from this host.

The load it answers: a roll-out at many hosts, each of which sees a shard's request in
some seconds. A share that a host counts for itself would be no request or far too many,
so each request is drawn by lot: the sum over all hosts then keeps to the share, without
a message. The share uses a part of the slack as well, by the requests that the service
is likely to get over the time ordered.
"""

import collections
import dataclasses
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import log
from greengagehaven import rng as rngs
from greengagehaven.coordination.rollouts import verdict
from greengagehaven.coordination.routing import events, request, upstreams
from greengagehaven.protocol import rollouts, watching

EXPOSURE_USED = 0.3
"""Share of the requests allowed to an untrusted version that the canary may use; the
rest is for the first second of the full load."""

MAX_SHARE = 0.25
"""Share of a service's requests that go to the canary at most, however few they are."""

CANARY_UPSTREAMS = 2
"""Upstreams of the target version that get the canary's requests. They meet a load
like that of the others, which some versions fail under; more of them would idle. With
one alone, a version could not be told from an upstream that is slow by itself."""

BAD_RATIO = 2.5
"""Multiples of the usual latency from which an answer counts as bad; work varies by a
third, and a version that counts as slow takes several times as long."""

Candidates = tuple[list[upstreams.Upstream], ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExposureBound:
    """Requests that all hosts may send to a version that is not proved.

    :param share: of the service's requests since the order.
    :param slack: requests besides.
    """

    share: float = 0.1
    slack: float = 50.0


class Versions:
    """Applies the roll-outs of all services, and tallies the answers.

    :param bound: of requests to an unproved version.
    :param demand: gives the requests a second of a service, over all hosts.
    :param clock: monotonic time.
    :param rng: draws the requests that go to a canary.
    """

    def __init__(
        self,
        *,
        bound: ExposureBound,
        demand: abc.Callable[[str], float],
        clock: clocks.Clock,
        rng: rngs.Rng,
    ) -> None:
        self._bound = bound
        self._demand = demand
        self._clock = clock
        self._rng = rng
        self._rollouts_by_service: dict[str, rollouts.Rollout] = {}
        self._trackers_by_service: dict[str, _Tracker] = {}
        self._is_acknowledged = True

    def set_rollouts(self, held: abc.Iterable[rollouts.Rollout]) -> None:
        """Apply the last roll-out of each service."""
        self._rollouts_by_service = {each.service: each for each in held}
        for service, rollout in self._rollouts_by_service.items():
            tracker = self._trackers_by_service.get(service)
            if rollout.phase.is_final:
                self._trackers_by_service.pop(service, None)
            elif tracker is None or tracker.number != rollout.number:
                self._trackers_by_service[service] = _Tracker(
                    number=rollout.number, version=rollout.version
                )

    def set_acknowledged(self, is_acknowledged: bool) -> None:
        """Record whether control hosts take this host's reports.

        One that is cut off would not hear that a version was found bad, and what it
        sees itself would count for nothing.
        """
        if is_acknowledged is not self._is_acknowledged:
            log.info("rollout_reports", acknowledged=is_acknowledged)
        self._is_acknowledged = is_acknowledged

    def candidates(
        self, service: str, known: list[upstreams.Upstream], *, is_first: bool = True
    ) -> Candidates:
        """Return the upstreams that may get a request, the preferred ones first.

        :param known: all usable upstreams of the service.
        :param is_first: whether no other upstream had the request; a further attempt
            is the caller's last chance and goes to a proved version.
        """
        rollout = self._rollouts_by_service.get(service)
        if rollout is None:
            return _established(known)
        target = [each for each in known if each.entry.version == rollout.version]
        others = [each for each in known if each.entry.version != rollout.version]
        match rollout.phase:
            case rollouts.Phase.CANARY:
                if is_first and self._is_drawn(rollout):
                    return _canaries(target), others
                return (others,)
            case rollouts.Phase.SHIFTED:
                if self._trackers_by_service[service].is_stopped:
                    return (others,)
                return target, others
            case rollouts.Phase.RETIRING:
                return (target,)
            case rollouts.Phase.DONE:
                # Upstreams of another version are started only where the service's
                # software is changed without an order.
                return (target or others,)
            case _:
                return (others,)

    def record(
        self, attempt: request.Attempt, outcome: events.Replied | events.Failed
    ) -> None:
        """Count the end of an attempt where its service is rolled out."""
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
        """Return what this host has of each roll-out in progress.

        :param in_flight: gives the requests that are at a service's upstreams of other
            versions than one.
        """
        return tuple(
            rollouts.ServiceReport(
                service=service,
                number=tracker.number,
                phase=self._rollouts_by_service[service].phase,
                others_in_flight=in_flight(service, tracker.version),
                tallies=tracker.tallies(),
            )
            for service, tracker in sorted(self._trackers_by_service.items())
        )

    def _is_drawn(self, rollout: rollouts.Rollout) -> bool:
        """Draw whether a request goes to the canary."""
        if (
            not self._is_acknowledged
            or self._trackers_by_service[rollout.service].is_stopped
        ):
            return False
        requests = max(1.0, self._demand(rollout.service) * rollout.duration_s)
        share = EXPOSURE_USED * (self._bound.share + self._bound.slack / requests)
        return self._rng.random() < min(MAX_SHARE, share)


class _Tracker:
    """The answers of one roll-out at this host."""

    def __init__(self, *, number: int, version: str) -> None:
        self.number = number
        self.version = version
        self.is_stopped = False
        self._test = verdict.SequentialTest()
        self._counts: collections.defaultdict[tuple[str, str], list[int]] = (
            collections.defaultdict(lambda: [0, 0])
        )

    def count(self, route: str, entry: watching.UpstreamEntry, is_bad: bool) -> None:
        """Count an answer; stop using the version where it is bad by these alone."""
        is_target = entry.version == self.version
        tested_id = entry.id if is_target else ""
        counted = self._counts[route, tested_id]
        counted[0] += 1
        counted[1] += is_bad
        self._test.add(
            rollouts.Tally(
                route=route, upstream_id=tested_id, answers=1, bad=int(is_bad)
            )
        )
        if is_target and is_bad and not self.is_stopped:
            self.is_stopped = self._test.verdict().is_bad

    def tallies(self) -> tuple[rollouts.Tally, ...]:
        """Return what was counted."""
        return tuple(
            rollouts.Tally(
                route=route, upstream_id=upstream_id, answers=answers, bad=bad
            )
            for (route, upstream_id), (answers, bad) in sorted(self._counts.items())
        )


def _canaries(target: list[upstreams.Upstream]) -> list[upstreams.Upstream]:
    """Return the upstreams that all hosts choose alike."""
    ranked = sorted(target, key=lambda each: (each.entry.incarnation, each.entry.id))
    return ranked[:CANARY_UPSTREAMS]


def _established(known: list[upstreams.Upstream]) -> Candidates:
    """Return the upstreams to use where no roll-out is known.

    Those of a version that is about to be rolled out may be heard of before the order.
    They get nothing while they are no more than those of the version in service, which
    are the ones that started first. Upstreams that are replaced without an order become
    more than those, and are used.
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
    """Tell whether an answer is bad, ``None`` where it says nothing of the version."""
    is_cold = now < attempt.upstream.cold_until
    if isinstance(outcome, events.Replied):
        if outcome.not_run or 300 <= outcome.status < 500:
            return None
        if not outcome.is_success:
            return True
        took = now - attempt.sent_at if outcome.took is None else outcome.took
        is_slow = took > BAD_RATIO * attempt.usual
        return None if is_slow and is_cold else is_slow
    if outcome.fault is events.Fault.SILENT:
        # Cut off after the others had answered: only what lasted long tells anything.
        is_slow = now - attempt.sent_at > BAD_RATIO * attempt.usual
        return True if is_slow and not is_cold else None
    if outcome.fault in (events.Fault.LOST, events.Fault.GARBLED):
        return True
    return None
