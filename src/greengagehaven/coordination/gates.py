"""All upstreams that this host owns: sub-requests of every host pass here."""

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
class Passage:
    """What came of one call: sub-requests to send and outcomes to report."""

    to_send: list[upstream.SubRequest] = dataclasses.field(default_factory=list)
    outcomes: list[upstream.Outcome] = dataclasses.field(default_factory=list)


class Gates:
    """Gates of the upstreams that this host owns.

    :param clock: time; only ``monotonic`` is read.
    :param directory: the live upstreams.
    :param usable: whether an upstream may get new work now.
    :param order: ranks subscribers among those that wait; ``None``, arrival
        decides among them.
    :param standing: off, all kinds stand alike.
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
        """Return the gate of each upstream that got work here."""
        return self._gates_by_id

    def offer(self, sub_requests: abc.Iterable[upstream.SubRequest]) -> Passage:
        """Take sub-requests for upstreams of this host."""
        passage = Passage()
        touched: dict[str, gate.Gate] = {}
        for sub_request in sub_requests:
            if sub_request.id in self._upstream_ids_by_sub_request:
                continue
            found = self._find(sub_request)
            if found is None:
                passage.outcomes.append(_refuse(sub_request))
                continue
            self._upstream_ids_by_sub_request[sub_request.id] = found.announcement.id
            found.enqueue(sub_request, self._clock.monotonic())
            touched[found.announcement.id] = found
        for found in touched.values():
            self._open(found, passage)
        return passage

    def withdraw(self, request_id: str, attempt: int) -> upstream.Failed | None:
        """Forget a sub-request that waits.

        :return: its outcome; ``None`` where it was sent already or is unknown.
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

    def end(self, outcome: upstream.Outcome) -> Passage:
        """Take the end of a sub-request that was sent.

        :return: what is sent in its place, and its outcome with the load of
            the upstream as this owner knows it.
        """
        passage = Passage()
        sub_request_id = (outcome.request_id, outcome.attempt)
        upstream_id = self._upstream_ids_by_sub_request.pop(sub_request_id, None)
        if upstream_id is None:
            return passage
        found = self._gates_by_id[upstream_id]
        now = self._clock.monotonic()
        took = found.end(outcome, now)
        self._open(found, passage)
        if isinstance(outcome, upstream.Replied):
            outcome = upstream.Replied(
                request_id=outcome.request_id,
                attempt=outcome.attempt,
                upstream_id=outcome.upstream_id,
                rows=outcome.rows,
                load=found.load,
                took=took,
                within_share=found.within_share(now),
                over_share=found.over_share(now),
            )
        passage.outcomes.append(outcome)
        return passage

    def refresh(self) -> Passage:
        """Look at every upstream again, after a change of any.

        What waits for an upstream that left or may get no new work is handed
        back as not run, so that its sender can take another replica at once.
        """
        passage = Passage()
        for upstream_id, found in list(self._gates_by_id.items()):
            announcement = self._directory.upstreams_by_id.get(upstream_id)
            if announcement is not None and self._usable(announcement):
                found.renew(announcement)
                self._open(found, passage)
                continue
            for sub_request in found.withdraw_all():
                del self._upstream_ids_by_sub_request[sub_request.id]
                passage.outcomes.append(_refuse(sub_request))
            if announcement is None and found.is_unused:
                del self._gates_by_id[upstream_id]
        return passage

    def _find(self, sub_request: upstream.SubRequest) -> gate.Gate | None:
        upstream_id = sub_request.upstream_id
        announcement = self._directory.upstreams_by_id.get(upstream_id)
        if announcement is None or not self._usable(announcement):
            return None
        found = self._gates_by_id.get(upstream_id)
        if found is None:
            found = gate.Gate(
                announcement=announcement,
                reference=self._usual_time,
                order=self._order,
                standing=self._standing,
                slow_start=self._slow_start,
            )
            self._gates_by_id[upstream_id] = found
        elif found.announcement is not announcement:
            found.renew(announcement)
        return found

    def _open(self, found: gate.Gate, passage: Passage) -> None:
        now = self._clock.monotonic()
        while (sub_request := found.next(now)) is not None:
            if sub_request.deadline > now + self._time_needed(found, sub_request):
                passage.to_send.append(sub_request)
                continue
            # Its caller has its answer by now; running it would be for nobody.
            failed = upstream.failure_of(
                sub_request, upstream.FailureReason.TIMEOUT, not_run=True
            )
            del self._upstream_ids_by_sub_request[sub_request.id]
            found.end(failed, now)
            passage.outcomes.append(failed)

    def _time_needed(self, found: gate.Gate, sub_request: upstream.SubRequest) -> float:
        """Return seconds without which a run would only be cut off.

        It is asked of those over their share, which may have waited long: an
        upstream that runs them for nothing is lost for the others.
        """
        if not sub_request.over_share_slots:
            return 0.0
        return found.usual_time(sub_request.kind) or 0.0

    def _usual_time(self, kind: str) -> float | None:
        times = [found.usual_time(kind) for found in self._gates_by_id.values()]
        known = [seconds for seconds in times if seconds is not None]
        return statistics.median(known) if known else None


def _refuse(sub_request: upstream.SubRequest) -> upstream.Failed:
    return upstream.failure_of(
        sub_request,
        upstream.FailureReason.CONNECT,
        not_run=True,
        detail="the upstream takes no new work",
    )
