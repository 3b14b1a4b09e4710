"""Budget of attempts beyond the first of each request, shared by all entry hosts.

In any window a service may get ``ratio`` extra attempts per request and ``burst``
more. Each host uses the ratio of its own requests and its share of the burst, so the
sum stays within the limit without a message for each attempt.

Spent attempts are counted over a sliding window rather than with a token bucket. With
many hosts, a host's share of the burst is only two attempts, which a bucket refilled by
requests alone gives out just once; a host with one sweep a second would then hedge one
shard in six seconds, although the limit allows the burst anew in each window. Hosts
that run short borrow from others (``borrowing``).
"""

import collections

from greengagehaven import clock as clocks

_SAFETY_FACTOR = 0.9
_MIN_HOSTS = 1

INITIAL_SHARE = 0.1
"""Fraction of its share of the burst that a host may use at its start; it is what
``_SAFETY_FACTOR`` leaves unused."""

_MAX_SEND_DELAY_S = 1.0
"""Seconds by which an attempt may reach its upstream later than it was counted, as it
may have to wait for a connection."""


LOAN_LIFETIME_S = 0.5
"""Seconds for which a loan may be used. The lender counts it as spent at the end of
that time, so that no window contains it twice."""


class _Window:
    """Times of one service's requests and extra attempts, in order of recording.

    ``spent`` holds an attempt that was lent with the time at which its loan expires.
    Attempts recorded after it are not removed before it, so they may be counted for up
    to ``LOAN_LIFETIME_S`` longer. ``loans`` are the times at which loans from other
    hosts expire.
    """

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.spent: collections.deque[float] = collections.deque()
        self.loans: collections.deque[float] = collections.deque()

    def expire(self, before: float) -> None:
        """Remove the oldest requests and extra attempts, up to a monotonic time."""
        for moments in (self.requests, self.spent):
            while moments and moments[0] <= before:
                moments.popleft()


class ExtraAttemptBudget:
    """Budget of this host for hedges and retries of each service.

    :param ratio: extra attempts allowed for each request.
    :param burst: extra attempts allowed in addition, over all hosts.
    :param window: seconds over which both are counted.
    :param clock: monotonic time.
    """

    def __init__(
        self, *, ratio: float, burst: float, window: float, clock: clocks.Clock
    ) -> None:
        self._ratio = ratio * _SAFETY_FACTOR
        self._burst = burst * _SAFETY_FACTOR
        self._window = window + _MAX_SEND_DELAY_S
        self._clock = clock
        self._started_at = clock.monotonic()
        self._burst_share = 0.0
        self._windows_by_service: dict[str, _Window] = {}
        self.set_hosts(_MIN_HOSTS)

    def set_hosts(self, count: int) -> None:
        """Set the number of hosts that share the burst.

        The burst is divided among one more host than is known: a host that has just
        started spends some of it before the others learn of that host.
        """
        self._burst_share = self._burst / (max(_MIN_HOSTS, count) + 1)

    def record_request(self, service: str) -> None:
        """Record a request for a service."""
        now = self._clock.monotonic()
        window = self._windows_by_service.setdefault(service, _Window())
        window.requests.append(now)
        window.expire(now - self._window)

    def try_spend(self, service: str, *, reserve_share: float = 0.0) -> bool:
        """Reserve an extra attempt, from the own budget or else from a loan.

        :param reserve_share: share of the burst that has to remain for other requests;
            loans are used regardless of it.
        :returns: whether the attempt may be sent.
        """
        window = self._windows_by_service.get(service)
        if window is None:
            return False
        now = self._clock.monotonic()
        window.expire(now - self._window)
        if self._remaining(window, now) - 1.0 >= reserve_share * self._available_share(
            now
        ):
            window.spent.append(now)
            return True
        while window.loans:
            if window.loans.popleft() >= now:
                return True
        return False

    def try_lend(self, service: str) -> bool:
        """Reserve an extra attempt for another host.

        :returns: whether the budget allowed it; it may be used for
            ``LOAN_LIFETIME_S`` seconds.
        """
        now = self._clock.monotonic()
        window = self._windows_by_service.setdefault(service, _Window())
        window.expire(now - self._window)
        if self._remaining(window, now) < 1.0:
            return False
        window.spent.append(now + LOAN_LIFETIME_S)
        return True

    def add_loan(self, service: str, count: int, *, until: float) -> None:
        """Add extra attempts that another host lent and counts as spent.

        :param until: monotonic seconds after which they may not be used.
        """
        window = self._windows_by_service.setdefault(service, _Window())
        window.loans.extend([until] * count)

    def request_rate(self, service: str) -> float:
        """Return the recent requests per second for a service on this host."""
        window = self._windows_by_service.get(service)
        if window is None:
            return 0.0
        now = self._clock.monotonic()
        window.expire(now - self._window)
        age = max(1.0, min(self._window, now - self._started_at))
        return len(window.requests) / age

    def retain(self, services: frozenset[str]) -> None:
        """Forget all services but the given ones."""
        for service in set(self._windows_by_service) - services:
            del self._windows_by_service[service]

    def _remaining(self, window: _Window, now: float) -> float:
        allowed = self._available_share(now) + self._ratio * len(window.requests)
        return allowed - len(window.spent)

    def _available_share(self, now: float) -> float:
        """Return how much of its share of the burst this host may use by now.

        A host that has just restarted may have spent its share shortly before. If all
        hosts are killed at once, the window would contain the burst twice, so the
        share is restored gradually over one window.
        """
        restored = (now - self._started_at) / self._window
        return self._burst_share * min(1.0, INITIAL_SHARE + restored)
