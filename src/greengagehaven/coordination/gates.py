"""Gates of the upstreams that this host owns.

A gate holds the concurrency limit and the queue of one upstream. The sub-requests of
every host for these upstreams pass through here.
"""

import dataclasses
import statistics
import typing
from collections import abc

from greengagehaven import clock as clock_module
from greengagehaven.coordination import gate, usage
from greengagehaven.protocol import upstream
from greengagehaven.state import directory

Usable = typing.Callable[[upstream.Announcement], bool]


@dataclasses.dataclass(kw_only=True, slots=True)
class GateResult:
    """Result of a call: sub-requests to send now and outcomes to report."""

    to_send: list[upstream.SubRequest] = dataclasses.field(default_factory=list)
    outcomes: list[upstream.Outcome] = dataclasses.field(default_factory=list)


class Gates:
    """Gates of the upstreams that this host owns.

    :param clock: only ``monotonic`` is read.
    :param directory: the live upstreams.
    :param usable: returns whether an upstream may get new sub-requests now.
    :param order: ranks subscribers by usage; with ``None``, only arrival counts within
        a standing.
    :param standing: if false, all kinds are treated alike.
    :param slow_start: see :class:`~greengagehaven.coordination.gate.Gate`.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        directory: directory.DirectoryView,
        usable: Usable,
        order: usage.UsageOrder | None = None,
        standing: bool = True,
        slow_start: bool = True,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._usable = usable
        self._order = order
        self._standing = standing
        self._slow_start = slow_start
        self._gates_by_id: dict[str, gate.Gate] = {}
        self._upstream_ids_by_sub_request: dict[tuple[str, int], str] = {}

    @property
    def gates_by_id(self) -> abc.Mapping[str, gate.Gate]:
        """Return the gates of the upstreams that got sub-requests through this host."""
        return self._gates_by_id

    def submit(self, sub_requests: abc.Iterable[upstream.SubRequest]) -> GateResult:
        """Queue sub-requests for upstreams of this host and send those that may go.

        Sub-requests that are known already are ignored; those for an upstream that
        takes no new ones fail as not run.
        """
        result = GateResult()
        gates_with_new_work: dict[str, gate.Gate] = {}
        for sub_request in sub_requests:
            if sub_request.id in self._upstream_ids_by_sub_request:
                continue
            upstream_gate = self._find_gate(sub_request)
            if upstream_gate is None:
                result.outcomes.append(_reject(sub_request))
                continue
            self._upstream_ids_by_sub_request[sub_request.id] = (
                upstream_gate.announcement.id
            )
            upstream_gate.enqueue(sub_request, self._clock.monotonic())
            gates_with_new_work[upstream_gate.announcement.id] = upstream_gate
        for upstream_gate in gates_with_new_work.values():
            self._send_ready(upstream_gate, result)
        return result

    def withdraw(self, request_id: str, attempt: int) -> upstream.Failed | None:
        """Remove a queued sub-request.

        :return: its outcome; ``None`` if it was already sent or is unknown.
        """
        sub_request_id = (request_id, attempt)
        upstream_id = self._upstream_ids_by_sub_request.get(sub_request_id)
        if upstream_id is None:
            return None
        if not self._gates_by_id[upstream_id].withdraw(sub_request_id):
            return None
        del self._upstream_ids_by_sub_request[sub_request_id]
        return upstream.Failed(
            request_id=request_id,
            attempt=attempt,
            upstream_id=upstream_id,
            reason=upstream.FailureReason.CANCELLED,
            not_run=True,
        )

    def complete(self, outcome: upstream.Outcome) -> GateResult:
        """Record the outcome of a sub-request that was sent.

        :return: the sub-requests that may go instead, and the outcome with the load of
            the upstream as this owner knows it.
        """
        result = GateResult()
        sub_request_id = (outcome.request_id, outcome.attempt)
        upstream_id = self._upstream_ids_by_sub_request.pop(sub_request_id, None)
        if upstream_id is None:
            return result
        upstream_gate = self._gates_by_id[upstream_id]
        now = self._clock.monotonic()
        took = upstream_gate.end(outcome, now)
        self._send_ready(upstream_gate, result)
        if isinstance(outcome, upstream.Replied):
            outcome = upstream.Replied(
                request_id=outcome.request_id,
                attempt=outcome.attempt,
                upstream_id=outcome.upstream_id,
                rows=outcome.rows,
                load=upstream_gate.load,
                took=took,
                within_share=upstream_gate.within_share(now),
                over_share=upstream_gate.over_share(now),
            )
        result.outcomes.append(outcome)
        return result

    def refresh(self) -> GateResult:
        """Re-evaluate all upstreams after a change of any.

        Sub-requests queued for an upstream that left or may get no new ones fail as not
        run, so that their senders can try another replica at once.
        """
        result = GateResult()
        for upstream_id, upstream_gate in list(self._gates_by_id.items()):
            announcement = self._directory.upstreams_by_id.get(upstream_id)
            if announcement is not None and self._usable(announcement):
                upstream_gate.update_announcement(announcement)
                self._send_ready(upstream_gate, result)
                continue
            for sub_request in upstream_gate.drain_queue():
                del self._upstream_ids_by_sub_request[sub_request.id]
                result.outcomes.append(_reject(sub_request))
            if announcement is None and upstream_gate.is_unused:
                del self._gates_by_id[upstream_id]
        return result

    def _find_gate(self, sub_request: upstream.SubRequest) -> gate.Gate | None:
        upstream_id = sub_request.upstream_id
        announcement = self._directory.upstreams_by_id.get(upstream_id)
        if announcement is None or not self._usable(announcement):
            return None
        upstream_gate = self._gates_by_id.get(upstream_id)
        if upstream_gate is None:
            upstream_gate = gate.Gate(
                announcement=announcement,
                reference=self._usual_time,
                order=self._order,
                standing=self._standing,
                slow_start=self._slow_start,
            )
            self._gates_by_id[upstream_id] = upstream_gate
        elif upstream_gate.announcement is not announcement:
            upstream_gate.update_announcement(announcement)
        return upstream_gate

    def _send_ready(self, upstream_gate: gate.Gate, result: GateResult) -> None:
        now = self._clock.monotonic()
        while (sub_request := upstream_gate.pop_next(now)) is not None:
            if sub_request.deadline > now + self._min_time_left(
                upstream_gate, sub_request
            ):
                result.to_send.append(sub_request)
                continue
            # The query is answered at its deadline, so the result would be unused.
            failed = upstream.failure_of(
                sub_request, upstream.FailureReason.TIMEOUT, not_run=True
            )
            del self._upstream_ids_by_sub_request[sub_request.id]
            upstream_gate.end(failed, now)
            result.outcomes.append(failed)

    def _min_time_left(
        self, upstream_gate: gate.Gate, sub_request: upstream.SubRequest
    ) -> float:
        """Return the seconds that must be left before the deadline to send it.

        It is above 0 only for subscribers over their share, whose sub-requests may have
        been queued for long: one that is cut off at its deadline would waste upstream
        time that the others need.
        """
        if not sub_request.over_share_slots:
            return 0.0
        return upstream_gate.usual_time(sub_request.kind) or 0.0

    def _usual_time(self, kind: str) -> float | None:
        times = [
            upstream_gate.usual_time(kind)
            for upstream_gate in self._gates_by_id.values()
        ]
        known = [seconds for seconds in times if seconds is not None]
        return statistics.median(known) if known else None


def _reject(sub_request: upstream.SubRequest) -> upstream.Failed:
    return upstream.failure_of(
        sub_request,
        upstream.FailureReason.CONNECT,
        not_run=True,
        detail="the upstream accepts no new sub-requests",
    )
