"""Serves the configuration to hosts that follow this one, and stores their reports.

Followers long-poll: a call returns as soon as there is a newer revision.
"""

import asyncio
import contextlib
import math
from collections import abc

import msgspec

from greengagehaven import clock as clocks
from greengagehaven.protocol import codec, control
from greengagehaven.state import configuration_history

FOLLOW_METHOD = "configuration/follow"
MAX_LONG_POLL_S = 10.0
MAX_REPORTS = 10_000
REPORT_LIFETIME_S = 30.0
MAX_REPORTED_AGE_S = 10_000_000.0


class ConfigurationPublisher:
    """Serves ``configuration/follow`` from a published state.

    :param history: the state, which its owner updates.
    :param staleness: returns the seconds since the state was known to be the newest.
    :param confirmed_staleness: returns an upper bound of these seconds, infinite if
        none is known.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        history: configuration_history.ConfigurationHistory,
        staleness: abc.Callable[[], float],
        confirmed_staleness: abc.Callable[[], float] = lambda: math.inf,
        clock: clocks.Clock,
    ) -> None:
        self._history = history
        self._staleness = staleness
        self._confirmed_staleness = confirmed_staleness
        self._clock = clock
        self._update_event = asyncio.Event()
        self._reports_by_host: dict[str, tuple[float, control.RevisionReport]] = {}
        self._encoded_state: tuple[int, bytes] | None = None

    @property
    def revision(self) -> int:
        """Return the revision of the state that is served."""
        return self._history.revision

    @property
    def staleness(self) -> float:
        """Return the seconds since the state was known to be the newest."""
        return self._staleness()

    @property
    def confirmed_staleness(self) -> float:
        """Return an upper bound of the seconds since the state was the newest."""
        return self._confirmed_staleness()

    def notify(self) -> None:
        """Wake every waiting follower, after the state was updated."""
        update_event, self._update_event = self._update_event, asyncio.Event()
        update_event.set()

    def close(self) -> None:
        """Answer every waiting follower with the current state."""
        self.notify()

    async def handle(self, body: bytes) -> bytes:
        """Answer a follower when there is a newer revision or its wait time is over."""
        request = codec.decode_msgpack(body, control.FollowRequest)
        self._record_reports(request.reports)
        wait = min(request.wait_ms / 1000, MAX_LONG_POLL_S)
        if wait > 0 and self._history.revision <= request.held_revision:
            update_event = self._update_event
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await update_event.wait()
        return codec.encode_msgpack(self.build_reply(request))

    def fresh_reports(self) -> tuple[control.RevisionReport, ...]:
        """Return the unexpired reports of the hosts that follow this one."""
        now = self._clock.monotonic()
        self._reports_by_host = {
            host_id: recorded
            for host_id, recorded in self._reports_by_host.items()
            if now - recorded[0] < REPORT_LIFETIME_S
        }
        return tuple(
            msgspec.structs.replace(report, age_ms=round((now - reported_at) * 1000))
            for reported_at, report in self._reports_by_host.values()
        )

    def build_reply(self, request: control.FollowRequest) -> control.FollowReply:
        """Return the updates that a follower lacks, without waiting."""
        age_ms = round(min(self._staleness(), MAX_REPORTED_AGE_S) * 1000)
        revision = self._history.revision
        deltas = self._history.deltas_since(request.held_revision)
        if deltas is None or request.whole:
            return control.FollowReply(
                revision=revision, age_ms=age_ms, state=self._full_state()
            )
        encoded_deltas = tuple(codec.encode_msgpack(delta) for delta in deltas)
        return control.FollowReply(
            revision=revision, age_ms=age_ms, deltas=encoded_deltas
        )

    def _full_state(self) -> bytes:
        # Cached: after a restart of all hosts, each asks for the same full state.
        if (
            self._encoded_state is None
            or self._encoded_state[0] != self._history.revision
        ):
            data = codec.encode_msgpack(self._history.state)
            self._encoded_state = (self._history.revision, data)
        return self._encoded_state[1]

    def _record_reports(self, reports: tuple[control.RevisionReport, ...]) -> None:
        now = self._clock.monotonic()
        for report in reports:
            reported_at = now - report.age_ms / 1000
            recorded = self._reports_by_host.get(report.host_id)
            if recorded is not None and recorded[0] >= reported_at:
                continue
            if recorded is None and len(self._reports_by_host) >= MAX_REPORTS:
                continue
            self._reports_by_host[report.host_id] = (reported_at, report)
