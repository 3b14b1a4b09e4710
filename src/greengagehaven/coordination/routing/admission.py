"""Admits requests: finds the route and sets the deadline and the answer time.

A request that is not admitted is refused before anything is sent to an upstream.
"""

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven import rng as rngs
from greengagehaven.coordination.routing import (
    callers,
    crashes,
    events,
    key_lease,
    mechanisms,
    request,
    retry_delays,
    stop_deadline,
    usage_limit,
    weights,
)
from greengagehaven.coordination.shared_budgets import reply_waits
from greengagehaven.state import routes, teams

MAX_WAIT_SHARE = 0.25
"""Share of a request's time that it may wait for newer usage totals."""

DEADLINE_MARGIN_S = 0.01
"""Seconds before a caller's deadline at which the request is ended; a packet to the
caller takes 1 to 3 ms, and timers fire up to 1 ms late."""


class RequestAdmission:
    """Turns arrived requests into routed requests, or refuses them.

    :param caller_times: time that callers have spent before their request arrived.
    :param crashes: requests that crash upstreams.
    :param key_guard: refuses requests of teams while this host has no lease.
    :param retry_delays: delays after which refused callers may retry.
    :param stop_deadline: refuses requests that would outlast this host.
    :param used: mechanisms that are enabled.
    :param clock: monotonic time.
    :param rng: chooses among the weighted services of a route.
    :param usage_limit: limits of teams over all hosts, ``None`` without caps.

    ``table`` is the routing table in force, ``None`` if there is none yet.
    """

    def __init__(
        self,
        *,
        caller_times: callers.CallerTimes,
        crashes: crashes.CrashDetector,
        key_guard: key_lease.KeyGuard,
        retry_delays: retry_delays.RetryDelays,
        stop_deadline: stop_deadline.StopDeadline,
        used: mechanisms.Mechanisms,
        clock: clocks.Clock,
        rng: rngs.Rng,
        usage_limit: usage_limit.UsageLimit | None = None,
    ) -> None:
        self.table: routes.RoutingTable | None = None
        self._caller_times = caller_times
        self._crashes = crashes
        self._key_guard = key_guard
        self._retry_delays = retry_delays
        self._stop_deadline = stop_deadline
        self._used = used
        self._clock = clock
        self._usage_limit = usage_limit
        self._weights = weights.Weights(rng=rng)

    def set_table(self, table: routes.RoutingTable) -> None:
        """Put a routing table in force."""
        self.table = table
        names = frozenset(route.name for route in table.routes)
        self._caller_times.retain(names)
        self._stop_deadline.retain(names)
        self._weights.retain(names)
        if self._usage_limit is not None:
            self._usage_limit.set_teams(table.teams)

    def admit(self, arrived: events.RequestArrived) -> request.RoutedRequest | None:
        """Return the routed request for an arrived one.

        :returns: ``None`` if it waits for newer usage totals; ``resume`` follows.
        :raises RequestError: the request is refused.
        """
        route, team = self._check(arrived)
        time_left = self._time_left(arrived, route)
        # Last, so that a request refused for another reason does not count.
        if team is not None and self._usage_limit is not None:
            max_wait = MAX_WAIT_SHARE * time_left
            number = arrived.number
            if not self._usage_limit.check(team, number=number, max_wait=max_wait):
                return None
        return self._route(arrived, route, team, waited=0.0)

    def resume(
        self, arrived: events.RequestArrived, outcome: reply_waits.Outcome
    ) -> request.RoutedRequest:
        """Return the routed request for one that has waited for usage totals.

        :raises RequestError: the request is refused.
        """
        if outcome.retry_after is not None:
            assert self._usage_limit is not None
            raise self._usage_limit.refusal(
                outcome.team,
                outcome.decision,
                retry_after=outcome.retry_after,
                waited=outcome.waited,
            )
        route, team = self._check(arrived)
        return self._route(arrived, route, team, waited=outcome.waited)

    def _check(
        self, arrived: events.RequestArrived
    ) -> tuple[routes.Route, teams.Team | None]:
        """Return the route and the team of a request.

        :raises RequestError: the request is refused.
        """
        if self.table is None:
            raise exceptions.NotConfiguredError(
                "no routing table is in force yet",
                retry_after=self._retry_delays.without_table(),
            )
        route = self.table.find(arrived.host, arrived.path)
        if route is None:
            raise exceptions.NotFoundError("no route matches the host and path")
        team = self._authenticate(self.table, route, arrived.key_digest)
        self._crashes.check(
            arrived.fingerprint, retry_after=self._retry_delays.after_failure()
        )
        self._stop_deadline.check(route.name, self._clock.monotonic())
        return route, team

    def _time_left(self, arrived: events.RequestArrived, route: routes.Route) -> float:
        """Return the seconds from the arrival of a request to its deadline."""
        if arrived.time_left is None:
            return route.timeout
        return min(route.timeout, arrived.time_left)

    def _route(
        self,
        arrived: events.RequestArrived,
        route: routes.Route,
        team: teams.Team | None,
        *,
        waited: float,
    ) -> request.RoutedRequest:
        """Return the routed request.

        :param waited: seconds that it waited for usage totals.
        """
        arrived_at = self._clock.monotonic() - waited - arrived.age
        time_left = self._time_left(arrived, route)
        spent = self._caller_times.observe(route, arrived.time_left)
        services = route.shards or (self._weights.pick(route),)
        return request.RoutedRequest(
            number=arrived.number,
            request_id=arrived.request_id,
            fingerprint=arrived.fingerprint,
            route=route,
            services=services,
            started_at=arrived_at,
            deadline=min(
                arrived_at + time_left - DEADLINE_MARGIN_S, self._stop_deadline.at
            ),
            answer_by=self._answer_by(route, arrived_at, spent),
            team=team,
        )

    def _authenticate(
        self, table: routes.RoutingTable, route: routes.Route, key_digest: str
    ) -> teams.Team | None:
        """Return the team of a request, ``None`` if it needs no key.

        :raises UnauthorizedError: the request needs a key and has no known one.
        :raises KeyLeaseExpiredError: it needs a key, and this host has no lease.
        """
        if route.is_public or not table.teams:
            return None
        # Before the lookup: an unknown key may be newer than this host's table.
        self._key_guard.check_admission()
        team = table.teams.find(key_digest)
        if team is None:
            raise exceptions.UnauthorizedError(
                "unknown key" if key_digest else "no key"
            )
        return team

    def _answer_by(self, route: routes.Route, now: float, waited: float) -> float:
        """Return the time at which a sweep is answered if it has enough parts."""
        if not self._used.partial_answers:
            return float("inf")
        return now + self._caller_times.answer_within(route, waited)
