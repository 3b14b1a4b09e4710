"""Detects shards none of whose upstreams answers.

A process that hangs still accepts connections, so probes of its listener succeed, and
each request sent to it would wait until its deadline. Such an upstream shows as work
that is overdue for longer than any pause lasts, while nothing arrives from it.
"""

import math
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import log
from greengagehaven.coordination.routing import (
    events,
    fleet,
    mechanisms,
    placement,
    reachability,
    request,
    upstreams,
)

UNAVAILABLE = "unavailable"
"""Reason of a failed shard all of whose upstreams are silent or unreachable."""

MAX_PAUSE_S = 0.3
"""Seconds of overdue work without any reply after which an upstream counts as silent.
Pauses last up to 250 ms; timers and replies are up to 50 ms late on a busy host."""

MAX_SLOWNESS = 3.0
"""Greatest slowness of an upstream for which its attempts get more time. Attempts that
were given up count as slow replies, so without this limit a silent upstream would seem
ever slower."""

PROBE_PERIOD_S = 1.0
"""Seconds between two requests that are sent although a shard is unavailable. Each one
holds its caller until its attempt is overdue."""

SILENCE_LIFETIME_S = 4.0
"""Seconds after which an upstream no longer counts as silent unless an overdue attempt
confirms it. Without this limit, a service that gets only requests that must not be sent
as probes would stay unavailable after it has recovered."""

FAULTS_WITHOUT_RESPONSE = events.NOT_SENT | {
    events.Fault.CANCELLED,
    events.Fault.HELPER,
}
"""Faults that end an attempt although nothing arrived from its upstream."""


class Availability:
    """Marks upstreams as silent, and finds the shards that have no other ones.

    :param fleet: the upstreams.
    :param used: mechanisms that are enabled.
    :param clock: monotonic time.
    """

    def __init__(
        self,
        *,
        fleet: fleet.Fleet,
        used: mechanisms.Mechanisms,
        clock: clocks.Clock,
    ) -> None:
        self._fleet = fleet
        self._used = used
        self._clock = clock
        self._silent_at_by_id: dict[str, float] = {}
        self._probed_at_by_service: dict[str, float] = {}
        self._stalled_until = -math.inf

    @property
    def has_silent_upstreams(self) -> bool:
        """Return whether any upstream counts as silent."""
        return bool(self._silent_at_by_id)

    def check(self, attempts: abc.Iterable[request.Attempt], *, due_at: float) -> None:
        """Mark the upstreams whose attempts in flight show that they are silent.

        :param attempts: all attempts in flight.
        :param due_at: when this check was due, in monotonic seconds.
        """
        if not self._used.availability:
            return
        now = self._clock.monotonic()
        self._drop_expired(now)
        if now - due_at > reachability.WATCH_PERIOD_S:
            # This host was frozen or busy; replies may wait to be read.
            self._stalled_until = now
        for attempt in attempts:
            self._mark_if_overdue(attempt, now)

    def is_overdue(
        self, attempt: request.Attempt, now: float, *, pause: float = MAX_PAUSE_S
    ) -> bool:
        """Return whether an attempt is overdue for longer than a pause lasts.

        Only replies after the moment at which it became overdue end that time. One that
        a helper sends is judged once the helper has reported it as pending: otherwise a
        helper that stalls would make all its upstreams look silent.

        :param pause: seconds for which it has to be overdue.
        """
        if attempt.started_at is None:
            return False
        if attempt.helper_address and not attempt.is_reported_pending:
            return False
        upstream = attempt.upstream
        overdue_at = attempt.started_at + _allowance(attempt, now)
        silent_since = max(overdue_at, upstream.replied_at, self._stalled_until)
        return now - silent_since > pause

    def record_end(
        self, attempt: request.Attempt, outcome: events.Replied | events.Failed
    ) -> None:
        """Apply the end of an attempt; any response ends its upstream's silence."""
        upstream, now = attempt.upstream, self._clock.monotonic()
        if (
            isinstance(outcome, events.Failed)
            and outcome.fault in FAULTS_WITHOUT_RESPONSE
        ):
            was_given_up = outcome.fault is events.Fault.CANCELLED
            if was_given_up and self._used.availability:
                self._mark_if_overdue(attempt, now)
            return
        upstream.replied_at = now
        if self._silent_at_by_id.pop(upstream.entry.id, None) is not None:
            log.info("upstream_answers_again", upstream=upstream.entry.id)

    def is_silent(self, upstream: upstreams.Upstream) -> bool:
        """Return whether an upstream was marked as silent after its last reply."""
        silent_at = self._silent_at_by_id.get(upstream.entry.id, -math.inf)
        return silent_at > upstream.replied_at

    def is_unavailable(self, service: str) -> bool:
        """Return whether a service has upstreams but none that answers.

        Unreachable ones alone are left to the choice of upstreams, which finds none.
        """
        if not self._silent_at_by_id:
            return False
        available = self._fleet.available(service)
        return bool(available) and all(map(self.is_silent, available))

    def has_untried_upstream(self, shard: request.ShardState) -> bool:
        """Return whether a shard has an upstream that answers and was not tried."""
        return any(
            not self.is_silent(upstream) and upstream.entry.id not in shard.tried
            for upstream in self._fleet.available(shard.service)
        )

    def reply_ages_ms(self, services: abc.Iterable[str]) -> dict[str, int]:
        """Return the milliseconds since the last reply of each service, for the log.

        Services without a reachable upstream are left out.
        """
        now = self._clock.monotonic()
        return {
            service: round(min((now - each.replied_at) * 1000 for each in available))
            for service in services
            if (available := self._fleet.available(service))
        }

    def try_probe(self, services: abc.Collection[str]) -> bool:
        """Return whether a request may be sent to detect that services recovered."""
        last = max(
            (self._probed_at_by_service.get(each, -math.inf) for each in services),
            default=-math.inf,
        )
        if self._clock.monotonic() - last < PROBE_PERIOD_S:
            return False
        self.record_probe(services)
        return True

    def record_probe(self, services: abc.Iterable[str]) -> None:
        """Record that unavailable services get a request."""
        now = self._clock.monotonic()
        self._probed_at_by_service.update(dict.fromkeys(services, now))

    def _mark_if_overdue(self, attempt: request.Attempt, now: float) -> None:
        if not self.is_overdue(attempt, now):
            return
        upstream = attempt.upstream
        silent_at_by_id = self._silent_at_by_id
        if upstream.entry.id not in silent_at_by_id:
            log.warning(
                "upstream_silent",
                upstream=upstream.entry.id,
                service=upstream.entry.service,
                replied_ms_ago=round((now - upstream.replied_at) * 1000),
            )
        silent_at_by_id[upstream.entry.id] = now
        # A probe reaches one replica of a shard; it confirms the others as well.
        for replica in self._fleet.available(upstream.entry.service):
            if self.is_silent(replica):
                silent_at_by_id[replica.entry.id] = now

    def _drop_expired(self, now: float) -> None:
        for upstream_id, silent_at in list(self._silent_at_by_id.items()):
            upstream = self._fleet.upstreams_by_id.get(upstream_id)
            is_expired = now - silent_at >= SILENCE_LIFETIME_S
            if upstream is None or is_expired or not self.is_silent(upstream):
                del self._silent_at_by_id[upstream_id]
        for service, probed_at in list(self._probed_at_by_service.items()):
            if now - probed_at >= PROBE_PERIOD_S:
                del self._probed_at_by_service[service]


def _allowance(attempt: request.Attempt, now: float) -> float:
    """Return the seconds after which an attempt is overdue at its upstream.

    Nothing has arrived since the last load report, so the report is not discounted.
    """
    upstream = attempt.upstream
    load = upstream.load
    ahead = len(upstream.sent_at_by_attempt)
    if load is not None:
        ahead = max(ahead, load.running + load.waiting)
    queued = ahead / max(1, upstream.entry.slots)
    slowness = min(MAX_SLOWNESS, upstream.expected_slowness(now))
    expected = attempt.typical_latency * slowness * (1 + queued)
    return max(placement.MIN_OVERDUE_S, placement.OVERDUE_FACTOR * expected)
