"""Sends sub-requests to upstreams through the hosts that own them.

Implements ``protocol.upstream.UpstreamChannel``. Sub-requests for upstreams owned by
this host pass its concurrency gates and are sent over direct connections. All others
are sent in batches to the owner host, which returns their outcomes the same way.
"""

import asyncio
import collections
import dataclasses
import typing

from greengagehaven import clock as clocks
from greengagehaven.coordination import gates, ownership, peers
from greengagehaven.protocol import codec, owner, upstream
from greengagehaven.state import directory
from greengagehaven.transport import owner_outbox

CANCELLED_SLOT_HOLD_S = 0.004
DEADLINE_GRACE_S = 0.1
MAX_EARLY_CANCELS = 1000

OnOutcome = typing.Callable[[upstream.Outcome], None]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Pending:
    """A sub-request of this host that has no outcome yet.

    :param owner_id: host that the sub-request was sent to.
    """

    owner_id: str
    upstream_id: str
    on_outcome: OnOutcome


class OwnerChannel:
    """Sends sub-requests through the owner of each upstream.

    :param host_id: id of this host.
    :param clock: monotonic clock of the deadlines.
    :param directory_view: announcements of the known upstreams.
    :param owners: returns the owner host of an upstream.
    :param upstream_gates: concurrency gates of the upstreams that this host owns.
    :param direct: sends sub-requests over this host's own connections.
    :param peer_channel: calls other hosts; ``None`` if there are no other hosts.
    :param address_of: returns ``IP:PORT`` of a host's peer server, or ``None`` if it
        is unknown.
    :param has_left: returns whether a host left gracefully and is finishing the
        sub-requests it has.
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
        self._origin_host_ids_by_id: dict[tuple[str, int], str] = {}
        self._early_cancels: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._outboxes_by_host_id: dict[str, owner_outbox.OwnerOutbox] = {}

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return the handlers that the peer server of this host must register."""
        return {owner_outbox.METHOD: self._handle_batch}

    @property
    def in_flight(self) -> int:
        """Return the number of sub-requests of this host without an outcome."""
        return len(self._pending_by_id)

    @property
    def owned_in_flight_count(self) -> int:
        """Return the number of sub-requests from any host held by this owner."""
        return len(self._origin_host_ids_by_id)

    @property
    def is_idle(self) -> bool:
        """Return whether no sub-request is held and every outcome has been sent."""
        outboxes = self._outboxes_by_host_id.values()
        return not self._origin_host_ids_by_id and all(
            each.is_idle for each in outboxes
        )

    def dispatch(
        self, batch: typing.Sequence[upstream.SubRequest], on_outcome: OnOutcome
    ) -> None:
        """Send every sub-request; report each outcome exactly once."""
        local: list[upstream.SubRequest] = []
        for sub_request in batch:
            owner_id = self._owner_of(sub_request.upstream_id)
            self._pending_by_id[sub_request.id] = _Pending(
                owner_id=owner_id,
                upstream_id=sub_request.upstream_id,
                on_outcome=on_outcome,
            )
            if owner_id == self._host_id:
                local.append(sub_request)
            else:
                self._outbox_of(owner_id).add_sub_request(sub_request)
        if len(local) < len(batch):
            self._schedule_deadline(batch)
        self._submit(local, self._host_id)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Cancel a sub-request; its outcome is ``Failed`` with reason ``CANCELLED``."""
        pending = self._pending_by_id.get((request_id, attempt))
        if pending is None:
            return
        if pending.owner_id == self._host_id:
            self._cancel_held(request_id, attempt)
            return
        not_run = self._outbox_of(pending.owner_id).cancel(request_id, attempt)
        reason = upstream.FailureReason.CANCELLED
        self._fail_pending(request_id, attempt, reason, not_run=not_run)

    def retire_connections(self, upstream_id: str) -> None:
        """Close idle connections to an upstream and do not reuse busy ones."""
        self._direct.retire_connections(upstream_id)

    def on_hosts_changed(self) -> None:
        """Fail sub-requests sent to owners that have failed; refresh the gates.

        An owner that left gracefully finishes the sub-requests it has. If those were
        failed here, a planned stop would abort billed requests of other hosts.
        """
        live = set(self._owners.host_ids)
        for (request_id, attempt), pending in list(self._pending_by_id.items()):
            if pending.owner_id not in live and not self._has_left(pending.owner_id):
                reason = upstream.FailureReason.OWNER_LOST
                self._fail_pending(
                    request_id,
                    attempt,
                    reason,
                    detail="owner host is no longer a member",
                )
        for host_id, host_outbox in list(self._outboxes_by_host_id.items()):
            if host_id not in live and host_outbox.is_idle:
                del self._outboxes_by_host_id[host_id]
        self.on_upstreams_changed()

    def on_upstreams_changed(self) -> None:
        """Refresh the gates; return queued work of unavailable upstreams."""
        self._apply_gate_result(self._gates.refresh())

    def close(self) -> None:
        """Stop calling other hosts."""
        for host_outbox in self._outboxes_by_host_id.values():
            host_outbox.close()

    async def _handle_batch(self, body: bytes) -> bytes:
        batch = codec.decode_msgpack(body, owner.OwnerBatch, place="parcel")
        for outcome in owner.read_outcomes(batch):
            self._deliver((outcome.request_id, outcome.attempt), outcome)
        now = self._clock.monotonic()
        for group in batch.groups:
            not_cancelled = [
                sub_request
                for sub_request in owner.read_group(group, now)
                if not self._was_cancelled(sub_request.id)
            ]
            self._submit(not_cancelled, batch.host_id)
        for request_id, attempt in batch.cancels:
            self._cancel_for_host(batch.host_id, request_id, attempt)
        return b""

    def _submit(self, sub_requests: list[upstream.SubRequest], host_id: str) -> None:
        if not sub_requests:
            return
        for sub_request in sub_requests:
            self._origin_host_ids_by_id[sub_request.id] = host_id
        self._apply_gate_result(self._gates.submit(sub_requests))

    def _cancel_for_host(self, host_id: str, request_id: str, attempt: int) -> None:
        sub_request_id = (request_id, attempt)
        if self._origin_host_ids_by_id.get(sub_request_id) == host_id:
            self._cancel_held(request_id, attempt)
            return
        # Calls may arrive out of order: the sub-request may still be in flight.
        self._early_cancels[sub_request_id] = None
        if len(self._early_cancels) > MAX_EARLY_CANCELS:
            self._early_cancels.popitem(last=False)

    def _was_cancelled(self, sub_request_id: tuple[str, int]) -> bool:
        if sub_request_id not in self._early_cancels:
            return False
        del self._early_cancels[sub_request_id]
        return True

    def _cancel_held(self, request_id: str, attempt: int) -> None:
        failed = self._gates.withdraw(request_id, attempt)
        if failed is not None:
            self._route_outcome(failed)
        else:
            self._direct.cancel(request_id, attempt)

    def _apply_gate_result(self, result: gates.GateResult) -> None:
        for outcome in result.outcomes:
            self._route_outcome(outcome)
        if result.to_send:
            self._direct.dispatch(result.to_send, self._on_direct_outcome)

    def _on_direct_outcome(self, outcome: upstream.Outcome) -> None:
        cancelled = (
            isinstance(outcome, upstream.Failed)
            and outcome.reason is upstream.FailureReason.CANCELLED
            and not outcome.not_run
        )
        if not cancelled:
            self._apply_gate_result(self._gates.complete(outcome))
            return
        # The upstream is only now told to stop the work. Its slot stays occupied for
        # CANCELLED_SLOT_HOLD_S, or new work could exceed its number of slots.
        self._route_outcome(outcome)
        loop = asyncio.get_running_loop()
        loop.call_later(CANCELLED_SLOT_HOLD_S, self._release_slot, outcome)

    def _release_slot(self, outcome: upstream.Outcome) -> None:
        self._apply_gate_result(self._gates.complete(outcome))

    def _route_outcome(self, outcome: upstream.Outcome) -> None:
        sub_request_id = (outcome.request_id, outcome.attempt)
        host_id = self._origin_host_ids_by_id.pop(sub_request_id, None)
        if host_id is None:
            return
        if host_id == self._host_id:
            self._deliver(sub_request_id, outcome)
        else:
            self._outbox_of(host_id).add_outcome(outcome)

    def _deliver(
        self, sub_request_id: tuple[str, int], outcome: upstream.Outcome
    ) -> None:
        pending = self._pending_by_id.pop(sub_request_id, None)
        if pending is not None:
            pending.on_outcome(outcome)

    def _fail_pending(
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

    def _schedule_deadline(self, batch: typing.Sequence[upstream.SubRequest]) -> None:
        delay = batch[0].deadline - self._clock.monotonic() + DEADLINE_GRACE_S
        ids = [sub_request.id for sub_request in batch]
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, delay), self._on_deadline, ids)

    def _on_deadline(self, sub_request_ids: list[tuple[str, int]]) -> None:
        for request_id, attempt in sub_request_ids:
            self._fail_pending(request_id, attempt, upstream.FailureReason.TIMEOUT)

    def _fail_lost(self, sub_requests: list[upstream.SubRequest], detail: str) -> None:
        for sub_request in sub_requests:
            self._fail_pending(
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

    def _outbox_of(self, host_id: str) -> owner_outbox.OwnerOutbox:
        host_outbox = self._outboxes_by_host_id.get(host_id)
        if host_outbox is None:
            host_outbox = owner_outbox.OwnerOutbox(
                host_id=self._host_id,
                channel=typing.cast(peers.PeerChannel, self._peer_channel),
                address_of=lambda: self._address_of(host_id),
                monotonic=self._clock.monotonic,
                on_lost=self._fail_lost,
            )
            self._outboxes_by_host_id[host_id] = host_outbox
        return host_outbox
