"""A simulated host that asks some shards of a sweep for another one."""

import dataclasses
import itertools
import typing
from collections import abc

from greengagehaven.coordination.routing import delegation, events, hedging
from greengagehaven.experiment import events_loop


class Asker(typing.Protocol):
    """The host whose sweep it is."""

    def take_report(self, boot: int, report: events.AttemptsReported) -> None:
        """Take what ended at another host."""


@dataclasses.dataclass(kw_only=True, eq=False)
class Gather:
    """Attempts that were delegated together.

    :param asker: told what ended; ``asker_boot`` is its run that asked.
    :param way: seconds of one way to it.
    :param keys: of the attempts at this host, by their number at the asker.
    """

    asker: Asker
    asker_boot: int
    asked: events.Delegate
    way: float
    loop: events_loop.Loop
    keys: abc.Mapping[int, int]
    on_last: abc.Callable[[], None]

    def __post_init__(self) -> None:
        self._attempts_by_key = {key: attempt for attempt, key in self.keys.items()}
        self._ready: list[events.AttemptEnded] = []
        self._reports_late = False
        self._is_due = False
        self._sent_at = self._took_at = self.loop.time
        self.loop.after(self.asked.report_after, self._first_report)

    def take(self, key: int, outcome: events.Replied | events.Failed) -> None:
        """Note how an attempt ended."""
        attempt = self._attempts_by_key.pop(key)
        self._took_at = self.loop.time
        if isinstance(outcome, events.Replied):
            took = self.loop.time - self._sent_at
            outcome = dataclasses.replace(
                outcome, took=took, is_merged=outcome.is_success
            )
        self._ready.append(events.AttemptEnded(attempt=attempt, outcome=outcome))
        is_success = isinstance(outcome, events.Replied) and outcome.is_success
        if not self._attempts_by_key:
            self._report()
        elif (self._reports_late or not is_success) and not self._is_due:
            self._is_due = True
            self.loop.after(delegation.TOGETHER_S, self._report)

    def _first_report(self) -> None:
        until = hedging.report_at(
            started_at=self._sent_at,
            replied_at=self._took_at,
            after=self.asked.report_after,
        )
        if self.loop.time < until:
            self.loop.at(until, self._first_report)
            return
        self._reports_late = True
        self._report()

    def _report(self) -> None:
        self._is_due = False
        ended, self._ready = tuple(self._ready), []
        left = tuple(self._attempts_by_key.values())
        if ended or left:
            straggling = left if self._reports_late else ()
            report = events.AttemptsReported(ended=ended, open=straggling)
            self.loop.after(self.way, self.asker.take_report, self.asker_boot, report)
        if not self._attempts_by_key and ended:
            self.on_last()


def keys_for(attempts: abc.Iterable[int], numbers: itertools.count) -> dict[int, int]:
    """Return a key for each attempt of another host, unlike any of this one's."""
    return {attempt: -next(numbers) for attempt in attempts}
