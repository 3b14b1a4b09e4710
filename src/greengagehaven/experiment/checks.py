"""Invariants of the router that are checked throughout an experiment."""

import bisect
import collections

from greengagehaven import exceptions
from greengagehaven.coordination.routing import events
from greengagehaven.experiment import environment


class PromiseBrokenError(exceptions.GreengagehavenError):
    """The router violated an invariant.

    :param promise: the invariant that was violated.
    :param seed: of the run; the same seed reproduces the violation.
    :param second: when it was detected, in simulated seconds.
    """

    code = "promise_broken"

    def __init__(self, promise: str, *, seed: int, second: float) -> None:
        super().__init__(f"{promise}, seed {seed}, at {second:.3f} s")

    @classmethod
    def from_detail(cls, detail: str) -> "PromiseBrokenError":
        """Return the error from the detail that another process sent."""
        error = cls("", seed=0, second=0.0)
        error.detail = detail
        return error


class InvariantChecker:
    """Checks what hosts send and answer; raises at the first violation.

    :param declared: the environment, which sets the retry budget.
    :param seed: of the run.
    """

    def __init__(self, *, declared: environment.Environment, seed: int) -> None:
        self._declared = declared
        self._seed = seed
        self._answered: set[int] = set()
        self._ran: set[int] = set()
        self._arrivals: collections.Counter[tuple[int, str]] = collections.Counter()
        self._runs: collections.Counter[tuple[int, str]] = collections.Counter()
        self._requests_by_service: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self._extra_by_service: dict[str, list[float]] = collections.defaultdict(list)

    def record_request(self, service: str, now: float) -> None:
        """Record a request that a caller sent for a service."""
        self._requests_by_service[service].append(now)

    def record_arrival(self, number: int, service: str, now: float) -> None:
        """Record an attempt that reached an upstream, and check the retry budget."""
        self._arrivals[number, service] += 1
        if self._arrivals[number, service] > 1:
            self._extra_by_service[service].append(now)
            self._check_budget(service, now)

    def record_run(
        self, number: int, service: str, kind: environment.Kind, now: float
    ) -> None:
        """Record an attempt that an upstream runs, and check the number of runs."""
        self._ran.add(number)
        self._runs[number, service] += 1
        runs = self._runs[number, service]
        if runs > 1 and not kind.is_idempotent:
            self._fail("a request that may run once ran twice", now)
        if runs > kind.attempts:
            self._fail("a request ran on more upstreams than its attempts", now)

    def check_answer(
        self, number: int, action: events.Action, service_count: int, now: float
    ) -> None:
        """Check that a request is answered once, and the coverage of its answer."""
        if number in self._answered:
            self._fail("a request was answered twice", now)
        self._answered.add(number)
        if isinstance(action, events.AnswerParts):
            parts = len(set(action.attempts))
            if parts != len(action.attempts) or parts + action.missing != service_count:
                self._fail("an answer reported a coverage that is not true", now)

    def check_refusal(self, number: int, now: float) -> None:
        """Check that a request refused as not run did not run."""
        if number in self._ran:
            self._fail("a request was refused as not run and had run", now)

    def _check_budget(self, service: str, now: float) -> None:
        window_start = now - self._declared.retry_window_s
        extra = self._extra_by_service[service]
        extra_in_window = len(extra) - bisect.bisect_right(extra, window_start)
        # The budget is a share of the requests in the current window or the previous
        # one, whichever has more.
        requests = self._requests_by_service[service]
        current = len(requests) - bisect.bisect_right(requests, window_start)
        previous = bisect.bisect_right(requests, window_start) - bisect.bisect_right(
            requests, window_start - self._declared.retry_window_s
        )
        allowed = self._declared.retry_ratio * max(current, previous)
        if extra_in_window > allowed + self._declared.retry_burst:
            self._fail(f"{service} got more extra attempts than its budget", now)

    def _fail(self, promise: str, now: float) -> None:
        raise PromiseBrokenError(promise, seed=self._seed, second=now)
