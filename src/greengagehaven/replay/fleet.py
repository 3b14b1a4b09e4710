"""All upstreams of a replay: their announcements and the ways to them."""

import fnmatch
import functools
import typing

from greengagehaven.protocol import trace, upstream
from greengagehaven.replay import hosts, links, reader, schedule, upstreams

RENEW_S = 1.0
STALL_S = 1.0

OutcomeKey = tuple[str, str, int, str]
FindHost = typing.Callable[[str], hosts.ReplayedHost | None]


class Fleet:
    """Upstreams by id, as the lines of a trace make them.

    :param recorded: the trace; recorded outcomes take precedence over modes.
    :param hop: seconds one way between zones.
    :param find_host: gives an entry host that a zone's upstreams reach.
    """

    def __init__(
        self,
        *,
        recorded: reader.Trace,
        schedule: schedule.Schedule,
        links: links.Links,
        hop: float,
        find_host: FindHost,
    ) -> None:
        self._schedule = schedule
        self._links = links
        self._hop = hop
        self._find_host = find_host
        self._upstreams_by_id: dict[str, upstreams.ReplayedUpstream] = {}
        self._behaviours: list[trace.Behave] = []
        self._outcomes_by_key = _index_outcomes(recorded)
        self.arrivals: list[upstreams.Arrival] = []

    @property
    def crashes(self) -> int:
        """Return how many upstreams crashed."""
        return sum(known.crashes for known in self._upstreams_by_id.values())

    def announce(self, announcement: upstream.Announcement) -> None:
        """Let an upstream announce itself and renew from then on."""
        known = self._upstreams_by_id.get(announcement.id)
        if known is None:
            known = self._add(announcement)
        known.announce(announcement)
        self._spread(known)

    def withdraw(self, upstream_id: str) -> None:
        """Let an upstream take its announcement back."""
        known = self._upstreams_by_id[upstream_id]
        known.announcing = False
        host = self._find_host(known.zone)
        if host is not None:
            host.withdraw(upstream_id, known.announcement.incarnation)

    def behave(self, line: trace.Behave) -> None:
        """Change how upstreams behave, those that come later included."""
        self._behaviours.append(line)
        for upstream_id, known in self._upstreams_by_id.items():
            if _matches(line.upstreams, upstream_id):
                known.behave(line)

    def send(
        self,
        host: hosts.ReplayedHost,
        sub_request: upstream.SubRequest,
        idempotency_key: str | None,
    ) -> None:
        """Carry a sub-request to its upstream and the outcome back."""
        target = self._upstreams_by_id[sub_request.upstream_id]
        recorded = self._outcomes_by_key.get(_key_of(sub_request))
        delay = self._links.zone_delay(host.zone, target.zone)
        if delay is None:
            self._lose(host, sub_request)
        elif recorded is not None:
            outcome = _recorded_outcome(recorded, sub_request)
            take = functools.partial(host.owner.take_outcome, outcome)
            self._schedule.call_later(recorded.latency_ms / 1000, take)
        else:
            work = upstreams.Work(
                sub_request=sub_request,
                idempotency_key=idempotency_key,
                reply=functools.partial(self._return, host, target, sub_request),
            )
            self._schedule.call_later(delay, lambda: target.receive(work))

    def cancel(self, sub_request: upstream.SubRequest) -> None:
        """Tell an upstream that nobody waits for a sub-request."""
        target = self._upstreams_by_id[sub_request.upstream_id]
        cancel = functools.partial(target.cancel, *sub_request.id)
        self._schedule.call_later(self._hop, cancel)

    def _add(self, announcement: upstream.Announcement) -> upstreams.ReplayedUpstream:
        known = upstreams.ReplayedUpstream(
            announcement=announcement,
            schedule=self._schedule,
            arrivals=self.arrivals,
        )
        self._upstreams_by_id[announcement.id] = known
        for behaviour in self._behaviours:
            if _matches(behaviour.upstreams, announcement.id):
                known.behave(behaviour)
        self._schedule.call_later(RENEW_S, lambda: self._renew(known))
        return known

    def _renew(self, known: upstreams.ReplayedUpstream) -> None:
        if known.alive and known.announcing:
            known.renew()
            self._spread(known)
        self._schedule.call_later(RENEW_S, lambda: self._renew(known))

    def _spread(self, known: upstreams.ReplayedUpstream) -> None:
        """Let the balancer carry an announcement to some host in reach."""
        host = self._find_host(known.zone)
        if host is not None:
            announce = functools.partial(host.announce, known.announcement)
            self._schedule.call_later(self._hop, announce)

    def _return(
        self,
        host: hosts.ReplayedHost,
        target: upstreams.ReplayedUpstream,
        sub_request: upstream.SubRequest,
        outcome: upstream.Outcome,
    ) -> None:
        delay = self._links.zone_delay(target.zone, host.zone)
        if delay is None:
            self._lose(host, sub_request)
        else:
            take = functools.partial(host.owner.take_outcome, outcome)
            self._schedule.call_later(delay, take)

    def _lose(self, host: hosts.ReplayedHost, sub_request: upstream.SubRequest) -> None:
        """Let the connection go silent until the host notices."""
        lost = upstream.failure_of(sub_request, upstream.FailureReason.STALLED)
        take = functools.partial(host.owner.take_outcome, lost)
        self._schedule.call_later(STALL_S, take)


def _matches(patterns: typing.Iterable[str], upstream_id: str) -> bool:
    return any(fnmatch.fnmatchcase(upstream_id, pattern) for pattern in patterns)


def _index_outcomes(recorded: reader.Trace) -> dict[OutcomeKey, trace.Outcome]:
    lines = [numbered.line for numbered in recorded.events]
    return {
        (line.request, line.service, line.shard, line.upstream): line
        for line in lines
        if isinstance(line, trace.Outcome)
    }


def _key_of(sub_request: upstream.SubRequest) -> OutcomeKey:
    ref = sub_request.shard_ref
    return (sub_request.request_id, ref.service, ref.shard, sub_request.upstream_id)


def _recorded_outcome(
    line: trace.Outcome, sub_request: upstream.SubRequest
) -> upstream.Outcome:
    if line.result == trace.REPLIED:
        return upstream.Replied(
            request_id=sub_request.request_id,
            attempt=sub_request.attempt,
            upstream_id=sub_request.upstream_id,
            rows=(upstreams.stamp(sub_request),),
        )
    return upstream.failure_of(
        sub_request, upstream.FailureReason(line.result), not_run=line.not_run
    )
