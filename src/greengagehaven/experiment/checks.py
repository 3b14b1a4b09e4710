"""What must hold at every moment of an experiment."""

import bisect
import collections

from greengagehaven import exceptions
from greengagehaven.coordination.routing import events
from greengagehaven.experiment import environment


class PromiseBrokenError(exceptions.GreengagehavenError):
    """A run broke something that always holds.

    :param seed: plays it again.
    """

    code = "promise_broken"

    def __init__(self, promise: str, *, seed: int, second: float) -> None:
        super().__init__(f"{promise}, seed {seed}, at {second:.3f} s")

    @classmethod
    def told(cls, detail: str) -> "PromiseBrokenError":
        """Return the error as another process told it."""
        error = cls("", seed=0, second=0.0)
        error.detail = detail
        return error


class Promises:
    """Checks what hosts send and answer.

    :param declared: bounds of the budget.
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

    def note_request(self, service: str, now: float) -> None:
        """Count a request that callers sent for a service."""
        self._requests_by_service[service].append(now)

    def note_arrival(self, number: int, service: str, now: float) -> None:
        """Count a request that reached an upstream, and hold the budget to it."""
        self._arrivals[number, service] += 1
        if self._arrivals[number, service] > 1:
            self._extra_by_service[service].append(now)
            self._check_budget(service, now)

    def note_run(
        self, number: int, service: str, kind: environment.Kind, now: float
    ) -> None:
        """Count a request that an upstream runs."""
        self._ran.add(number)
        self._runs[number, service] += 1
        runs = self._runs[number, service]
        if runs > 1 and not kind.is_idempotent:
            self._break("a request that may run once ran twice", now)
        if runs > kind.attempts:
            self._break("a request ran on more upstreams than its attempts", now)

    def note_answer(
        self, number: int, action: events.Action, service_count: int, now: float
    ) -> None:
        """Hold an answer to what ran."""
        if number in self._answered:
            self._break("a request was answered twice", now)
        self._answered.add(number)
        if isinstance(action, events.AnswerParts):
            parts = len(set(action.attempts))
            if parts != len(action.attempts) or parts + action.missing != service_count:
                self._break("an answer told a coverage that is not true", now)

    def note_refusal(self, number: int, now: float) -> None:
        """Hold a refusal that says not run to what ran."""
        if number in self._ran:
            self._break("a request was refused as not run and had run", now)

    def _check_budget(self, service: str, now: float) -> None:
        start = now - self._declared.retry_window_s
        extra = self._extra_by_service[service]
        spent = len(extra) - bisect.bisect_right(extra, start)
        # Requests count in this window or the one before, whichever holds more.
        asked = self._requests_by_service[service]
        here = len(asked) - bisect.bisect_right(asked, start)
        earlier = bisect.bisect_right(asked, start) - bisect.bisect_right(
            asked, start - self._declared.retry_window_s
        )
        allowed = self._declared.retry_ratio * max(here, earlier)
        if spent > allowed + self._declared.retry_burst:
            self._break(f"{service} got more extra attempts than its budget", now)

    def _break(self, promise: str, now: float) -> None:
        raise PromiseBrokenError(promise, seed=self._seed, second=now)
