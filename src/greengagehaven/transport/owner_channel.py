"""The way to upstreams through their owner hosts.

Stands behind ``protocol.upstream.UpstreamChannel``. Sub-requests for upstreams
of this host pass its gates and leave over direct connections; the others go to
the owner host in batches, and their outcomes come back the same way.
"""

import asyncio
import collections
import dataclasses
import typing

from greengagehaven import clock as clocks
from greengagehaven.coordination import gates, ownership, peers
from greengagehaven.protocol import codec, owner, upstream
from greengagehaven.state import directory
from greengagehaven.transport import outbox

CANCEL_HOLD_S = 0.004
DEADLINE_GRACE_S = 0.1
MAX_EARLY_CANCELS = 1000

OnOutcome = typing.Callable[[upstream.Outcome], None]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Pending:
    """A sub-request of this host without an outcome; ``owner_id`` has it."""

    owner_id: str
    upstream_id: str
    on_outcome: OnOutcome


class OwnerChannel:
    """Sends sub-requests by way of the owner of each upstream.

    :param host_id: this host.
    :param owners: who owns which upstream.
    :param upstream_gates: gates of the upstreams that this host owns.
    :param direct: connections of this host to upstreams.
    :param peer_channel: calls to other hosts; ``None`` where there are none.
    :param address_of: returns ``IP:PORT`` of a host's peer server, or ``None``.
    :param has_left: whether a host left by word and finishes what it has.
    """

    def __init__(
        self,
        *,
        host_id: str,
        clock: clocks.Clock,
        directory_view: directory.DirectoryView,
        owners: ownership.Ownership,
        upstream_gates: gates.Gates,
        direct: upstream.UpstreamChannel,
        peer_channel: peers.PeerChannel | None = None,
        address_of: typing.Callable[[str], str | None] = lambda host_id: None,
        has_left: typing.Callable[[str], bool] = lambda host_id: False,
    ) -> None:
        self._host_id = host_id
        self._clock = clock
        self._directory = directory_view
        self._owners = owners
        self._gates = upstream_gates
        self._direct = direct
        self._peer_channel = peer_channel
        self._address_of = address_of
        self._has_left = has_left
        self._pending_by_id: dict[tuple[str, int], _Pending] = {}
        self._origins_by_id: dict[tuple[str, int], str] = {}
        self._early_cancels: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._outboxes_by_host_id: dict[str, outbox.Outbox] = {}

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return what the peer server of this host has to serve."""
        return {outbox.METHOD: self._take_parcel}

    @property
    def in_flight(self) -> int:
        """Return sub-requests of this host whose outcome is not told yet."""
        return len(self._pending_by_id)

    @property
    def held_count(self) -> int:
        """Return sub-requests, of any host, that are at this owner."""
        return len(self._origins_by_id)

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is held and every outcome has been told."""
        boxes = self._outboxes_by_host_id.values()
        return not self._origins_by_id and all(box.is_idle for box in boxes)

    def dispatch(
        self, batch: typing.Sequence[upstream.SubRequest], on_outcome: OnOutcome
    ) -> None:
        """Send every sub-request; report each outcome exactly once."""
        own: list[upstream.SubRequest] = []
        for sub_request in batch:
            owner_id = self._owner_of(sub_request.upstream_id)
            self._pending_by_id[sub_request.id] = _Pending(
                owner_id=owner_id,
                upstream_id=sub_request.upstream_id,
                on_outcome=on_outcome,
            )
            if owner_id == self._host_id:
                own.append(sub_request)
            else:
                self._outbox_of(owner_id).offer(sub_request)
        if len(own) < len(batch):
            self._watch_deadline(batch)
        self._offer(own, self._host_id)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Give up on a sub-request; its outcome is ``Failed`` (cancelled)."""
        pending = self._pending_by_id.get((request_id, attempt))
        if pending is None:
            return
        if pending.owner_id == self._host_id:
            self._cancel_here(request_id, attempt)
            return
        not_run = self._outbox_of(pending.owner_id).cancel(request_id, attempt)
        reason = upstream.FailureReason.CANCELLED
        self._fail(request_id, attempt, reason, not_run=not_run)

    def retire_connections(self, upstream_id: str) -> None:
        """Close idle connections of an upstream and reuse none in use."""
        self._direct.retire_connections(upstream_id)

    def hosts_changed(self) -> None:
        """Fail what is at owners that are gone; take over what they had.

        An owner that left by word finishes what it has. Were that given up, a
        planned stop would cut off the billed requests of other hosts.
        """
        live = set(self._owners.host_ids)
        for (request_id, attempt), pending in list(self._pending_by_id.items()):
            if pending.owner_id not in live and not self._has_left(pending.owner_id):
                reason = upstream.FailureReason.OWNER_LOST
                self._fail(request_id, attempt, reason, detail="its owner left")
        for host_id, box in list(self._outboxes_by_host_id.items()):
            if host_id not in live and box.is_idle:
                del self._outboxes_by_host_id[host_id]
        self.upstreams_changed()

    def upstreams_changed(self) -> None:
        """Hand back what waits for upstreams that may get no new work."""
        self._carry_out(self._gates.refresh())

    def close(self) -> None:
        """Stop calling other hosts."""
        for box in self._outboxes_by_host_id.values():
            box.close()

    async def _take_parcel(self, body: bytes) -> bytes:
        parcel = codec.decode_msgpack(body, owner.Parcel, place="parcel")
        for outcome in owner.read_outcomes(parcel):
            self._tell((outcome.request_id, outcome.attempt), outcome)
        now = self._clock.monotonic()
        for group in parcel.groups:
            wanted = [
                sub_request
                for sub_request in owner.read_group(group, now)
                if not self._was_cancelled(sub_request.id)
            ]
            self._offer(wanted, parcel.host_id)
        for request_id, attempt in parcel.cancels:
            self._cancel_for(parcel.host_id, request_id, attempt)
        return b""

    def _offer(self, sub_requests: list[upstream.SubRequest], host_id: str) -> None:
        if not sub_requests:
            return
        for sub_request in sub_requests:
            self._origins_by_id[sub_request.id] = host_id
        self._carry_out(self._gates.offer(sub_requests))

    def _cancel_for(self, host_id: str, request_id: str, attempt: int) -> None:
        sub_request_id = (request_id, attempt)
        if self._origins_by_id.get(sub_request_id) == host_id:
            self._cancel_here(request_id, attempt)
            return
        # Calls overtake each other: the sub-request may still be on its way.
        self._early_cancels[sub_request_id] = None
        if len(self._early_cancels) > MAX_EARLY_CANCELS:
            self._early_cancels.popitem(last=False)

    def _was_cancelled(self, sub_request_id: tuple[str, int]) -> bool:
        if sub_request_id not in self._early_cancels:
            return False
        del self._early_cancels[sub_request_id]
        return True

    def _cancel_here(self, request_id: str, attempt: int) -> None:
        failed = self._gates.withdraw(request_id, attempt)
        if failed is not None:
            self._report(failed)
        else:
            self._direct.cancel(request_id, attempt)

    def _carry_out(self, passage: gates.Passage) -> None:
        for outcome in passage.outcomes:
            self._report(outcome)
        if passage.to_send:
            self._direct.dispatch(passage.to_send, self._take_direct)

    def _take_direct(self, outcome: upstream.Outcome) -> None:
        cancelled = (
            isinstance(outcome, upstream.Failed)
            and outcome.reason is upstream.FailureReason.CANCELLED
            and not outcome.not_run
        )
        if not cancelled:
            self._carry_out(self._gates.end(outcome))
            return
        # The upstream hears of it only now; work sent before it has stopped
        # the run would be one more than its slots.
        self._report(outcome)
        loop = asyncio.get_running_loop()
        loop.call_later(CANCEL_HOLD_S, self._free, outcome)

    def _free(self, outcome: upstream.Outcome) -> None:
        self._carry_out(self._gates.end(outcome))

    def _report(self, outcome: upstream.Outcome) -> None:
        sub_request_id = (outcome.request_id, outcome.attempt)
        host_id = self._origins_by_id.pop(sub_request_id, None)
        if host_id is None:
            return
        if host_id == self._host_id:
            self._tell(sub_request_id, outcome)
        else:
            self._outbox_of(host_id).report(outcome)

    def _tell(self, sub_request_id: tuple[str, int], outcome: upstream.Outcome) -> None:
        pending = self._pending_by_id.pop(sub_request_id, None)
        if pending is not None:
            pending.on_outcome(outcome)

    def _fail(
        self,
        request_id: str,
        attempt: int,
        reason: upstream.FailureReason,
        *,
        not_run: bool = False,
        detail: str = "",
    ) -> None:
        pending = self._pending_by_id.pop((request_id, attempt), None)
        if pending is None:
            return
        failed = upstream.Failed(
            request_id=request_id,
            attempt=attempt,
            upstream_id=pending.upstream_id,
            reason=reason,
            not_run=not_run,
            detail=detail,
        )
        pending.on_outcome(failed)

    def _watch_deadline(self, batch: typing.Sequence[upstream.SubRequest]) -> None:
        left = batch[0].deadline - self._clock.monotonic() + DEADLINE_GRACE_S
        ids = [sub_request.id for sub_request in batch]
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, left), self._deadline_passed, ids)

    def _deadline_passed(self, sub_request_ids: list[tuple[str, int]]) -> None:
        for request_id, attempt in sub_request_ids:
            self._fail(request_id, attempt, upstream.FailureReason.TIMEOUT)

    def _lost(self, sub_requests: list[upstream.SubRequest], detail: str) -> None:
        for sub_request in sub_requests:
            self._fail(
                sub_request.request_id,
                sub_request.attempt,
                upstream.FailureReason.OWNER_LOST,
                detail=detail,
            )

    def _owner_of(self, upstream_id: str) -> str:
        announcement = self._directory.upstreams_by_id.get(upstream_id)
        if announcement is None:
            return self._host_id
        return self._owners.owner_of(announcement)

    def _outbox_of(self, host_id: str) -> outbox.Outbox:
        box = self._outboxes_by_host_id.get(host_id)
        if box is None:
            box = outbox.Outbox(
                host_id=self._host_id,
                channel=typing.cast(peers.PeerChannel, self._peer_channel),
                address_of=lambda: self._address_of(host_id),
                monotonic=self._clock.monotonic,
                lost=self._lost,
            )
            self._outboxes_by_host_id[host_id] = box
        return box
