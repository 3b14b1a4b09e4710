"""Delegated attempts: a simulated host sends part of a sweep for another host."""

import dataclasses
import itertools
import math
import typing
from collections import abc

import msgspec

from greengagehaven.coordination.routing import delegation, events, hedging
from greengagehaven.experiment import event_loop


class Delegator(typing.Protocol):
    """The host that delegated attempts of its sweep."""

    def handle_report(self, boot: int, report: events.AttemptsReported) -> None:
        """Handle a report of attempts that ended at another host."""


@dataclasses.dataclass(kw_only=True, eq=False)
class DelegatedAttempts:
    """Attempts that were delegated together, and their reports.

    :param delegator: the host that delegated them, which gets the reports.
    :param delegator_boot: counts the restarts of that host; it ignores reports for an
        earlier boot.
    :param delegate: the attempts and when to report them first.
    :param one_way_delay: to the delegator, in seconds.
    :param keys: keys of the attempts at this host, by their number at the delegator.
    :param on_all_ended: called when all attempts have ended and are reported.
    """

    delegator: Delegator
    delegator_boot: int
    delegate: events.Delegate
    one_way_delay: float
    loop: event_loop.Loop
    keys: abc.Mapping[int, int]
    on_all_ended: abc.Callable[[], None]

    def __post_init__(self) -> None:
        self._attempts_by_key = {key: attempt for attempt, key in self.keys.items()}
        self._unreported: list[events.AttemptEnded] = []
        self._is_first_report_due = False
        self._is_report_scheduled = False
        self._is_early_report_scheduled = False
        self._started_at = self._first_end_at = self._last_end_at = self.loop.time
        self.loop.call_later(self.delegate.report_after, self._report_first)

    def record_end(self, key: int, outcome: events.Replied | events.Failed) -> None:
        """Record the end of an attempt, and schedule a report if one is due."""
        if len(self._attempts_by_key) == len(self.keys):
            self._first_end_at = self.loop.time
        attempt = self._attempts_by_key.pop(key)
        self._last_end_at = self.loop.time
        if isinstance(outcome, events.Replied):
            took = self.loop.time - self._started_at
            outcome = msgspec.structs.replace(
                outcome, took=took, is_merged=outcome.is_success
            )
        self._unreported.append(events.AttemptEnded(attempt=attempt, outcome=outcome))
        is_success = isinstance(outcome, events.Replied) and outcome.is_success
        if not self._attempts_by_key:
            self._report()
        elif (
            self._is_first_report_due or not is_success
        ) and not self._is_report_scheduled:
            self._is_report_scheduled = True
            self.loop.call_later(delegation.REPORT_BATCH_S, self._report)
        elif not self._is_early_report_scheduled and self._early_at < math.inf:
            self._is_early_report_scheduled = True
            self.loop.call_at(self._early_at, self._report_early)

    @property
    def _early_at(self) -> float:
        """Return when the attempts that have ended are reported before the others."""
        return hedging.early_report_at(
            first_at=self._first_end_at,
            last_at=self._last_end_at,
            replies=len(self.keys) - len(self._attempts_by_key),
            attempts=len(self.keys),
        )

    def _report_early(self) -> None:
        if not self._attempts_by_key or self._is_first_report_due:
            return
        if self.loop.time < self._early_at:
            self.loop.call_at(self._early_at, self._report_early)
            return
        self._report()

    def _report_first(self) -> None:
        report_at = hedging.report_at(
            started_at=self._started_at,
            replied_at=self._last_end_at,
            after=self.delegate.report_after,
        )
        if self.loop.time < report_at:
            self.loop.call_at(report_at, self._report_first)
            return
        self._is_first_report_due = True
        self._report()

    def _report(self) -> None:
        self._is_report_scheduled = False
        ended, self._unreported = tuple(self._unreported), []
        pending = tuple(self._attempts_by_key.values())
        if ended or pending:
            straggling = pending if self._is_first_report_due else ()
            report = events.AttemptsReported(ended=ended, straggling=straggling)
            self.loop.call_later(
                self.one_way_delay,
                self.delegator.handle_report,
                self.delegator_boot,
                report,
            )
        if not self._attempts_by_key and ended:
            self.on_all_ended()


def keys_for(attempts: abc.Iterable[int], sequence: itertools.count) -> dict[int, int]:
    """Return a key for each attempt of another host, distinct from own attempts' keys.

    Own attempts have positive keys, those of other hosts negative ones.
    """
    return {attempt: -next(sequence) for attempt in attempts}
