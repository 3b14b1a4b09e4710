"""Attempts beyond the first of each request, bounded over all entry hosts.

In any window a service bears ``ratio`` of its requests and ``burst`` more. Each host
uses the ratio of its own requests and its part of the burst, so that the sum holds
without a message for each attempt.

The load it answers: sweeps over many shards at many hosts. A part of the burst is two
attempts for each host there; a bucket that is filled by requests alone gives them out
once, and a host that gets a sweep a second then hedges a shard once in six seconds,
though the bound allows the burst anew in each window. So what was spent is counted
over the window itself. Hosts that run short borrow from others (``lending``).
"""

import collections

from greengagehaven import clock as clocks

_SAFETY = 0.9
_MIN_HOSTS = 1

AT_ONCE = 0.1
"""Share of its part that a host has at its start: what ``_SAFETY`` leaves unused."""

_LATE_S = 1.0
"""Seconds; an attempt may reach its upstream that much later than it was counted,
after it has waited for a connection."""


LOAN_S = 0.5
"""Seconds for which what is lent may be used. The lender counts it as spent at the end
of that time, so that no window holds it twice."""


class _Window:
    """Moments of one service's requests and extra attempts, the oldest first.

    ``loans`` are the ends of what other hosts lent.
    """

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.spent: collections.deque[float] = collections.deque()
        self.loans: collections.deque[float] = collections.deque()

    def forget(self, before: float) -> None:
        """Forget what the window has left behind."""
        for moments in (self.requests, self.spent):
            while moments and moments[0] <= before:
                moments.popleft()


class ExtraAttempts:
    """What hedges and retries of each service may still spend.

    :param ratio: extra attempts allowed for each request.
    :param burst: extra attempts allowed besides, over all hosts.
    :param window: seconds over which both are counted.
    :param clock: monotonic time.
    """

    def __init__(
        self, *, ratio: float, burst: float, window: float, clock: clocks.Clock
    ) -> None:
        self._ratio = ratio * _SAFETY
        self._burst = burst * _SAFETY
        self._window = window + _LATE_S
        self._clock = clock
        self._started_at = clock.monotonic()
        self._part = 0.0
        self._windows_by_service: dict[str, _Window] = {}
        self.set_hosts(_MIN_HOSTS)

    def set_hosts(self, count: int) -> None:
        """Take this host's part of the burst.

        One more host than is known gets a part: one that has just started spends
        some before the others have heard of it.
        """
        self._part = self._burst / (max(_MIN_HOSTS, count) + 1)

    def earn(self, service: str) -> None:
        """Count a request for a service."""
        now = self._clock.monotonic()
        window = self._windows_by_service.setdefault(service, _Window())
        window.requests.append(now)
        window.forget(now - self._window)

    def spend(self, service: str, *, keep: float = 0.0) -> bool:
        """Count an extra attempt if there is room for it; return whether there is.

        :param keep: part of the burst that is left to others.
        """
        window = self._windows_by_service.get(service)
        if window is None:
            return False
        now = self._clock.monotonic()
        window.forget(now - self._window)
        if self._left(window, now) - 1.0 >= keep * self._part_now(now):
            window.spent.append(now)
            return True
        while window.loans:
            if window.loans.popleft() >= now:
                return True
        return False

    def lend(self, service: str) -> bool:
        """Count an extra attempt of another host if there is room for it.

        :returns: whether there is; it may be used for ``LOAN_S``.
        """
        now = self._clock.monotonic()
        window = self._windows_by_service.setdefault(service, _Window())
        window.forget(now - self._window)
        if self._left(window, now) < 1.0:
            return False
        window.spent.append(now + LOAN_S)
        return True

    def borrow(self, service: str, count: int, *, until: float) -> None:
        """Take room that another host counts as spent.

        :param until: monotonic seconds after which it may not be used.
        """
        window = self._windows_by_service.setdefault(service, _Window())
        window.loans.extend([until] * count)

    def request_rate(self, service: str) -> float:
        """Return the requests a second for a service that this host had lately."""
        window = self._windows_by_service.get(service)
        if window is None:
            return 0.0
        now = self._clock.monotonic()
        window.forget(now - self._window)
        age = max(1.0, min(self._window, now - self._started_at))
        return len(window.requests) / age

    def retain(self, services: frozenset[str]) -> None:
        """Forget services that no route names any more."""
        for service in set(self._windows_by_service) - services:
            del self._windows_by_service[service]

    def _left(self, window: _Window, now: float) -> float:
        earned = self._part_now(now) + self._ratio * len(window.requests)
        return earned - len(window.spent)

    def _part_now(self, now: float) -> float:
        """Return the part of the burst that this host has by now.

        A host that has just restarted may have spent its part a moment ago. Where
        all are killed at once the sum would hold the burst twice, so it comes back
        over a window.
        """
        come_back = (now - self._started_at) / self._window
        return self._part * min(1.0, AT_ONCE + come_back)
