"""The replayed upstreams, their announcements and the network to them."""

import fnmatch
import functools
import typing

from greengagehaven.protocol import trace, upstream
from greengagehaven.replay import hosts, links, reader, schedule, upstreams

RENEW_PERIOD_S = 1.0
STALL_TIMEOUT_S = 1.0

OutcomeKey = tuple[str, str, int, str]
FindHost = typing.Callable[[str], hosts.ReplayedHost | None]


class Fleet:
    """Creates, announces and changes upstreams as the lines of a trace say.

    :param recorded: the trace; a recorded outcome takes precedence over the mode of
        the upstream.
    :param hop: one-way delay between zones in seconds.
    :param find_host: returns an entry host that upstreams of a zone can reach.
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
        """Return the number of crashes of all upstreams."""
        return sum(target.crashes for target in self._upstreams_by_id.values())

    def announce(self, announcement: upstream.Announcement) -> None:
        """Announce an upstream; it renews its announcement from then on."""
        target = self._upstreams_by_id.get(announcement.id)
        if target is None:
            target = self._add(announcement)
        target.announce(announcement)
        self._send_announcement(target)

    def withdraw(self, upstream_id: str) -> None:
        """Withdraw the announcement of an upstream."""
        target = self._upstreams_by_id[upstream_id]
        target.announcing = False
        host = self._find_host(target.zone)
        if host is not None:
            host.handle_withdrawal(upstream_id, target.announcement.incarnation)

    def behave(self, line: trace.Behave) -> None:
        """Change the behaviour of matching upstreams, also of those added later."""
        self._behaviours.append(line)
        for upstream_id, target in self._upstreams_by_id.items():
            if _matches(line.upstreams, upstream_id):
                target.behave(line)

    def send(
        self,
        host: hosts.ReplayedHost,
        sub_request: upstream.SubRequest,
        idempotency_key: str | None,
    ) -> None:
        """Send a sub-request to its upstream, and the outcome back to the host."""
        target = self._upstreams_by_id[sub_request.upstream_id]
        recorded = self._outcomes_by_key.get(_key_of(sub_request))
        delay = self._links.zone_delay(host.zone, target.zone)
        if delay is None:
            self._stall(host, sub_request)
        elif recorded is not None:
            outcome = _recorded_outcome(recorded, sub_request)
            deliver = functools.partial(host.owner.handle_outcome, outcome)
            self._schedule.call_later(recorded.latency_ms / 1000, deliver)
        else:
            job = upstreams.Job(
                sub_request=sub_request,
                idempotency_key=idempotency_key,
                reply=functools.partial(
                    self._return_outcome, host, target, sub_request
                ),
            )
            self._schedule.call_later(delay, lambda: target.receive(job))

    def cancel(self, sub_request: upstream.SubRequest) -> None:
        """Tell an upstream that a sub-request was cancelled."""
        target = self._upstreams_by_id[sub_request.upstream_id]
        cancel = functools.partial(target.cancel, *sub_request.id)
        self._schedule.call_later(self._hop, cancel)

    def _add(self, announcement: upstream.Announcement) -> upstreams.ReplayedUpstream:
        target = upstreams.ReplayedUpstream(
            announcement=announcement,
            schedule=self._schedule,
            arrivals=self.arrivals,
        )
        self._upstreams_by_id[announcement.id] = target
        for behaviour in self._behaviours:
            if _matches(behaviour.upstreams, announcement.id):
                target.behave(behaviour)
        self._schedule.call_later(RENEW_PERIOD_S, lambda: self._renew(target))
        return target

    def _renew(self, target: upstreams.ReplayedUpstream) -> None:
        if target.alive and target.announcing:
            target.renew()
            self._send_announcement(target)
        self._schedule.call_later(RENEW_PERIOD_S, lambda: self._renew(target))

    def _send_announcement(self, target: upstreams.ReplayedUpstream) -> None:
        """Send an announcement to a reachable host that the load balancer selects."""
        host = self._find_host(target.zone)
        if host is not None:
            deliver = functools.partial(host.handle_announcement, target.announcement)
            self._schedule.call_later(self._hop, deliver)

    def _return_outcome(
        self,
        host: hosts.ReplayedHost,
        target: upstreams.ReplayedUpstream,
        sub_request: upstream.SubRequest,
        outcome: upstream.Outcome,
    ) -> None:
        delay = self._links.zone_delay(target.zone, host.zone)
        if delay is None:
            self._stall(host, sub_request)
        else:
            deliver = functools.partial(host.owner.handle_outcome, outcome)
            self._schedule.call_later(delay, deliver)

    def _stall(
        self, host: hosts.ReplayedHost, sub_request: upstream.SubRequest
    ) -> None:
        """Report a stalled connection after the time a host takes to detect it."""
        stalled = upstream.failure_of(sub_request, upstream.FailureReason.STALLED)
        deliver = functools.partial(host.owner.handle_outcome, stalled)
        self._schedule.call_later(STALL_TIMEOUT_S, deliver)


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
            rows=(upstreams.build_row(sub_request),),
        )
    return upstream.failure_of(
        sub_request, upstream.FailureReason(line.result), not_run=line.not_run
    )
