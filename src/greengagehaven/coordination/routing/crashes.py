"""Finds out which requests crash upstreams, and refuses them.

An upstream that was lost in mid-request is looked at: one whose host says that
nothing listens any more has crashed, under that request or beside it. Other entry
hosts report what they saw.
"""

from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination.routing import (
    counts,
    events,
    mechanisms,
    request,
    suspects,
    upstreams,
)
from greengagehaven.protocol import watching


class Crashes:
    """Losses that are looked into, and the requests that are suspected of them.

    :param clock: monotonic time.
    :param counted: counts crashes.
    :param used: mechanisms that are used.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        counted: counts.Counts,
        used: mechanisms.Mechanisms,
    ) -> None:
        self._used = used
        self._suspects = suspects.Suspects(clock=clock)
        self._counts = counted
        self._lost_by_attempt: dict[int, request.Attempt] = {}
        self._looks_by_upstream: dict[upstreams.Upstream, list[int]] = {}

    def check(self, fingerprint: str, *, retry_after: float) -> None:
        """Let a request pass that crashes nothing.

        :param retry_after: seconds after which a loss has been looked into.
        :raises SuspendedError: it crashes upstreams, or may just have.
        """
        if self._suspects.is_convicted(fingerprint):
            raise exceptions.SuspendedError(
                "upstreams crashed on it", retry_after=suspects.CONVICTION_S
            )
        if self._suspects.is_pending(fingerprint):
            raise exceptions.SuspendedError(
                "an upstream was lost with it a moment ago", retry_after=retry_after
            )

    def is_convicted(self, routed: request.RoutedRequest) -> bool:
        """Tell whether a request in progress must not be sent again."""
        return self._suspects.is_convicted(routed.fingerprint)

    def look_into(self, attempt: request.Attempt, actions: list[events.Action]) -> None:
        """Find out whether an upstream crashed on an attempt."""
        if not self._used.crash_checks:
            return
        self._suspects.note_loss(attempt.request.fingerprint)
        self._lost_by_attempt[attempt.id] = attempt
        looked_at = self._looks_by_upstream.get(attempt.upstream)
        if looked_at is not None:
            # An upstream that resets connections above its cap would reset one
            # more for each request that it has reset.
            looked_at.append(attempt.id)
            return
        self._looks_by_upstream[attempt.upstream] = [attempt.id]
        check = events.CheckListener(
            attempt=attempt.id, address=attempt.upstream.entry.address
        )
        actions.append(check)

    def is_looked_into(self, attempt: request.Attempt) -> bool:
        """Tell whether it is not known yet what an attempt was lost by."""
        return attempt.id in self._lost_by_attempt

    def take_listener(
        self, checked: events.ListenerChecked, actions: list[events.Action]
    ) -> list[request.Attempt]:
        """Take in what a look showed; return the attempts that waited for it."""
        first = self._lost_by_attempt.get(checked.attempt)
        if first is None:
            return []
        waiting = [
            self._lost_by_attempt.pop(attempt_id)
            for attempt_id in self._looks_by_upstream.pop(first.upstream)
        ]
        for attempt in waiting:
            self._judge(attempt, checked, actions)
        return waiting

    def _judge(
        self,
        attempt: request.Attempt,
        checked: events.ListenerChecked,
        actions: list[events.Action],
    ) -> None:
        if checked.listener is events.Listener.CLOSED:
            self._note_crash(attempt, actions)
        else:
            # One that resets connections above its cap is full, and one that
            # does not answer may be behind a partition: neither has crashed.
            self._suspects.note_listening(attempt.request.fingerprint)

    def take_reports(self, reported: abc.Iterable[watching.Crash]) -> None:
        """Take in crashes that other entry hosts saw."""
        for crash in reported:
            self._take(crash)

    def _note_crash(
        self, attempt: request.Attempt, actions: list[events.Action]
    ) -> None:
        entry = attempt.upstream.entry
        crash = watching.Crash(
            fingerprint=attempt.request.fingerprint,
            service=entry.service,
            upstream_id=entry.id,
            incarnation=entry.incarnation,
        )
        self._counts.upstream_changes["crashed"] += 1
        log.warning(
            "upstream_crashed",
            request=attempt.request.request_id,
            fingerprint=crash.fingerprint,
            service=crash.service,
            upstream=crash.upstream_id,
        )
        self._take(crash)
        actions.append(events.ReportCrash(crash=crash))

    def _take(self, crash: watching.Crash) -> None:
        if self._suspects.take_crash(crash):
            log.warning(
                "request_convicted",
                fingerprint=crash.fingerprint,
                service=crash.service,
                for_s=suspects.CONVICTION_S,
            )
