"""Answers hosts that follow this one's configuration, and keeps their reports."""

import asyncio
import contextlib
from collections import abc

import msgspec

from greengagehaven import clock as clocks
from greengagehaven.protocol import codec, control
from greengagehaven.state import published

FOLLOW_METHOD = "configuration/follow"
MAX_WAIT_S = 10.0
MAX_REPORTS = 10_000
REPORT_LIFETIME_S = 30.0
MAX_AGE_S = 10_000_000.0


class Publisher:
    """Serves ``configuration/follow`` from a published state.

    :param published: the state, which its owner moves forward.
    :param age: gives the seconds since the state is known to be the newest.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        published: published.Published,
        age: abc.Callable[[], float],
        clock: clocks.Clock,
    ) -> None:
        self._published = published
        self._age = age
        self._clock = clock
        self._news = asyncio.Event()
        self._reports_by_host: dict[str, tuple[float, control.HostReport]] = {}
        self._encoded: tuple[int, bytes] | None = None

    @property
    def revision(self) -> int:
        """Return the revision of the state that is served."""
        return self._published.revision

    @property
    def age(self) -> float:
        """Return the seconds since the state is known to be the newest."""
        return self._age()

    def notify(self) -> None:
        """Wake every follower that waits, after the state moved forward."""
        news, self._news = self._news, asyncio.Event()
        news.set()

    def close(self) -> None:
        """Let every follower that waits go with what there is."""
        self.notify()

    async def handle(self, body: bytes) -> bytes:
        """Answer one follower, at once where there is news, else when it comes."""
        request = codec.decode_msgpack(body, control.FollowRequest)
        self._keep_reports(request.reports)
        wait = min(request.wait_ms / 1000, MAX_WAIT_S)
        if wait > 0 and self._published.revision <= request.held_revision:
            news = self._news
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await news.wait()
        return codec.encode_msgpack(self.answer(request))

    def reports(self) -> tuple[control.HostReport, ...]:
        """Return what the hosts that follow this one lately reported."""
        now = self._clock.monotonic()
        self._reports_by_host = {
            host_id: kept
            for host_id, kept in self._reports_by_host.items()
            if now - kept[0] < REPORT_LIFETIME_S
        }
        return tuple(
            msgspec.structs.replace(report, age_ms=round((now - said_at) * 1000))
            for said_at, report in self._reports_by_host.values()
        )

    def answer(self, request: control.FollowRequest) -> control.FollowReply:
        """Return what is new to a follower, without waiting."""
        age_ms = round(min(self._age(), MAX_AGE_S) * 1000)
        revision = self._published.revision
        deltas = self._published.since(request.held_revision)
        if deltas is None or request.whole:
            return control.FollowReply(
                revision=revision, age_ms=age_ms, state=self._whole_state()
            )
        encoded = tuple(codec.encode_msgpack(delta) for delta in deltas)
        return control.FollowReply(revision=revision, age_ms=age_ms, deltas=encoded)

    def _whole_state(self) -> bytes:
        # After a restart of all hosts each asks for the same whole state.
        if self._encoded is None or self._encoded[0] != self._published.revision:
            data = codec.encode_msgpack(self._published.state)
            self._encoded = (self._published.revision, data)
        return self._encoded[1]

    def _keep_reports(self, reports: tuple[control.HostReport, ...]) -> None:
        now = self._clock.monotonic()
        for report in reports:
            said_at = now - report.age_ms / 1000
            kept = self._reports_by_host.get(report.host_id)
            if kept is not None and kept[0] >= said_at:
                continue
            if kept is None and len(self._reports_by_host) >= MAX_REPORTS:
                continue
            self._reports_by_host[report.host_id] = (said_at, report)
