"""A decision core on a manual clock, with upstreams that the test controls."""

import random

import msgspec

from greengagehaven import clock
from greengagehaven.coordination import core, events, options
from greengagehaven.protocol import upstream
from greengagehaven.state import directory, document

KEY_DIGEST = "a" * 64
SECOND_KEY_DIGEST = "b" * 64
DOCUMENT = f"""
version = 1
[subscribers.demo]
key_sha256 = ["{KEY_DIGEST}"]
[subscribers.other]
key_sha256 = ["{SECOND_KEY_DIGEST}"]
[services.credits-0]
[services.credits-1]
[kinds.sweep]
deadline_ms = 2000
[kinds.scan]
coverage = "partial"
answer_after_ms = 500
deadline_ms = 2000
[kinds.lookup]
fan_out = "key"
[kinds.retire]
idempotent = false
"""


def announce(
    upstream_id: str,
    *,
    shards: tuple[tuple[str, int, int], ...] = (("credits-0", 0, 1),),
    partitioning: int = 1,
    snapshots: tuple[int, ...] = (41,),
    zone: str = "a",
    incarnation: int = 1,
    sequence: int = 1,
    slots: int = 2,
    state: upstream.UpstreamState = upstream.UpstreamState.READY,
) -> upstream.Announcement:
    """Return an announcement; ``shards`` are (service, shard, shard_count)."""
    hosted = tuple(
        upstream.HostedShard(
            service=service, shard=shard, shard_count=count, partitioning=partitioning
        )
        for service, shard, count in shards
    )
    return upstream.Announcement(
        id=upstream_id,
        incarnation=incarnation,
        sequence=sequence,
        address="127.0.0.1:9",
        availability_zone=zone,
        state=state,
        slots=slots,
        max_connections=25,
        snapshots=snapshots,
        shards=hosted,
    )


class CoreHarness:
    """One core, its directory, and all actions it returned."""

    def __init__(
        self,
        *,
        seed: int = 1,
        document_text: str = DOCUMENT,
        core_options: options.Options = options.DEFAULT,
        host_id: str = "h-1",
        recorder_ids: frozenset[str] = frozenset(),
        shared_clock: clock.ManualClock | None = None,
    ) -> None:
        self.clock = shared_clock or clock.ManualClock()
        self.directory = directory.Directory()
        self.core = core.Core(
            clock=self.clock,
            rng=random.Random(seed),
            directory=self.directory,
            host_id=host_id,
            zone="a",
            options=core_options,
            recorder_ids=recorder_ids,
        )
        self.in_flight: dict[tuple[str, int], upstream.SubRequest] = {}
        self.sent: list[upstream.SubRequest] = []
        self.cancelled: list[events.Cancel] = []
        self.notices: list[events.NotifyPeers] = []
        self.answers_by_id: dict[str, object] = {}
        self.refusals_by_id: dict[str, object] = {}
        self.recorder_requests: list[events.SendRecorderRequest] = []
        self.timer_times: list[float] = []
        environment = document.parse(document_text.encode())
        self.step(events.DocumentInForce(revision=1, environment=environment))

    def step(self, event: events.Event) -> list[events.Action]:
        """Pass an event to the core and record its actions."""
        actions = self.core.step(event)
        for action in actions:
            self._record_action(action)
        return actions

    def apply_announcements(self, *announcements: upstream.Announcement) -> None:
        """Add announcements to the directory and notify the core."""
        changed_ids = {
            item.id for item in announcements if self.directory.apply_announcement(item)
        }
        self.step(events.DirectoryChanged(upstream_ids=frozenset(changed_ids)))

    def withdraw(self, upstream_id: str) -> None:
        """Remove an upstream from the directory and notify the core."""
        version = self.directory.upstreams_by_id[upstream_id].version
        self.directory.withdraw(upstream_id, version)
        self.step(events.DirectoryChanged(upstream_ids=frozenset({upstream_id})))

    def submit(
        self,
        request_id: str,
        *,
        kind: str = "sweep",
        services: tuple[str, ...] = ("credits-0",),
        query: bytes = b"{}",
        subscriber_id: str = "demo",
        deadline: float | None = None,
        idempotency_key: str | None = None,
        require_complete: bool | None = None,
    ) -> list[events.Action]:
        """Submit a query."""
        return self.step(
            events.QuerySubmitted(
                request_id=request_id,
                subscriber_id=subscriber_id,
                services=services,
                kind=kind,
                query=msgspec.Raw(query),
                deadline=deadline,
                idempotency_key=idempotency_key,
                require_complete=require_complete,
            )
        )

    def reply(
        self,
        sub_request: upstream.SubRequest,
        *rows: bytes,
        load: upstream.LoadReport | None = None,
    ) -> None:
        """Deliver a successful reply to a sub-request."""
        outcome = upstream.Replied(
            request_id=sub_request.request_id,
            attempt=sub_request.attempt,
            upstream_id=sub_request.upstream_id,
            rows=tuple(msgspec.Raw(row) for row in rows or (b"{}",)),
            load=load,
        )
        self.in_flight.pop(sub_request.id, None)
        self.step(events.OutcomeReceived(outcome=outcome))

    def fail(
        self,
        sub_request: upstream.SubRequest,
        reason: upstream.FailureReason = upstream.FailureReason.RESET,
        *,
        not_run: bool = False,
    ) -> None:
        """Deliver a failure of a sub-request."""
        outcome = upstream.Failed(
            request_id=sub_request.request_id,
            attempt=sub_request.attempt,
            upstream_id=sub_request.upstream_id,
            reason=reason,
            not_run=not_run,
        )
        self.in_flight.pop(sub_request.id, None)
        self.step(events.OutcomeReceived(outcome=outcome))

    def advance(self, seconds: float) -> None:
        """Advance the clock, firing each timer that the core has set."""
        end = self.clock.monotonic() + seconds
        while self.timer_times and min(self.timer_times) <= end:
            wake_at = min(self.timer_times)
            self.timer_times.remove(wake_at)
            self.clock.advance(max(0.0, wake_at - self.clock.monotonic()))
            self.step(events.TimeReached())
        self.clock.advance(end - self.clock.monotonic())

    def _record_action(self, action: events.Action) -> None:
        if isinstance(action, events.Dispatch):
            for sub_request in action.batch:
                self.in_flight[sub_request.id] = sub_request
                self.sent.append(sub_request)
        elif isinstance(action, events.Cancel):
            self.cancelled.append(action)
        elif isinstance(action, events.AnswerQuery):
            self.answers_by_id[action.answer.request_id] = action.answer
        elif isinstance(action, events.RefuseQuery):
            self.refusals_by_id[action.request_id] = action.error
        elif isinstance(action, events.NotifyPeers):
            self.notices.append(action)
        elif isinstance(action, events.SendRecorderRequest):
            self.recorder_requests.append(action)
        elif isinstance(action, events.WakeAt):
            self.timer_times.append(action.moment)
