"""Owner role of a replayed entry host.

Sub-requests pass through the same gates as in the daemons, at the entry host that
owns their upstream.
"""

import typing

from greengagehaven.coordination import core, events, gates
from greengagehaven.protocol import upstream
from greengagehaven.state import directory


class OwnerTransport(typing.Protocol):
    """Carries messages from one host to other hosts and to upstreams."""

    def send_to_owner(self, owner_id: str, sub_request: upstream.SubRequest) -> None:
        """Send a sub-request to the host that owns its upstream."""

    def withdraw_from_owner(
        self, owner_id: str, sub_request: upstream.SubRequest
    ) -> None:
        """Tell an owner that a sub-request was cancelled."""

    def return_outcome(self, origin_id: str, outcome: upstream.Outcome) -> None:
        """Send an outcome to the host that the sub-request came from."""

    def send_to_upstream(self, sub_request: upstream.SubRequest) -> None:
        """Send a sub-request to its upstream, which returns the outcome."""

    def cancel_at_upstream(self, sub_request: upstream.SubRequest) -> None:
        """Tell an upstream that a sub-request was cancelled."""


class ReplayedOwner:
    """Routes the sub-requests of one host to owners, and owns upstreams itself.

    :param decision_core: the host's core, which knows the owner of each upstream.
    :param transport: sends messages to other hosts and to upstreams.
    """

    def __init__(
        self,
        *,
        host_id: str,
        directory_view: directory.DirectoryView,
        decision_core: core.Core,
        transport: OwnerTransport,
    ) -> None:
        self._host_id = host_id
        self._directory = directory_view
        self._decision_core = decision_core
        self._transport = transport
        self._gates = decision_core.gates
        self._owner_ids_by_sub_request_id: dict[tuple[str, int], str] = {}
        self._origin_ids_by_sub_request_id: dict[tuple[str, int], str] = {}
        self._sent_by_id: dict[tuple[str, int], upstream.SubRequest] = {}

    def dispatch(self, sub_request: upstream.SubRequest) -> None:
        """Send a sub-request of this host's core to the owner of its upstream."""
        announcement = self._directory.upstreams_by_id.get(sub_request.upstream_id)
        owner_id = self._host_id
        if announcement is not None:
            owner_id = self._decision_core.ownership.owner_of(announcement)
        self._owner_ids_by_sub_request_id[sub_request.id] = owner_id
        if owner_id == self._host_id:
            self.handle_offer(self._host_id, sub_request)
        else:
            self._transport.send_to_owner(owner_id, sub_request)

    def cancel(self, sub_request: upstream.SubRequest) -> None:
        """Cancel a sub-request of this host's core at its owner."""
        owner_id = self._owner_ids_by_sub_request_id.pop(sub_request.id, None)
        if owner_id == self._host_id:
            self.handle_withdrawal(sub_request)
        elif owner_id is not None:
            self._transport.withdraw_from_owner(owner_id, sub_request)

    @property
    def is_idle(self) -> bool:
        """Return whether this owner holds no sub-request of any host."""
        return not self._origin_ids_by_sub_request_id

    def pop_lost_ids(
        self, has_left: typing.Callable[[str], bool]
    ) -> list[tuple[str, int]]:
        """Remove and return the ids of sub-requests whose owner is no longer live.

        :param has_left: returns whether a host left gracefully; it still finishes
            the sub-requests that it holds.
        """
        live = self._decision_core.ownership.host_ids
        lost = [
            sub_request_id
            for sub_request_id, owner_id in self._owner_ids_by_sub_request_id.items()
            if owner_id not in live and not has_left(owner_id)
        ]
        for sub_request_id in lost:
            del self._owner_ids_by_sub_request_id[sub_request_id]
        return lost

    def forget(self, sub_request_id: tuple[str, int]) -> None:
        """Forget the owner of a sub-request whose outcome the core has received."""
        self._owner_ids_by_sub_request_id.pop(sub_request_id, None)

    def handle_offer(self, origin_id: str, sub_request: upstream.SubRequest) -> None:
        """Accept a sub-request from a host for an upstream that this one owns."""
        self._origin_ids_by_sub_request_id[sub_request.id] = origin_id
        self._apply(self._gates.submit([sub_request]))

    def handle_withdrawal(self, sub_request: upstream.SubRequest) -> None:
        """Cancel a sub-request, whether it is queued here or already sent."""
        self._origin_ids_by_sub_request_id.pop(sub_request.id, None)
        if self._gates.withdraw(*sub_request.id) is not None:
            return
        if self._sent_by_id.pop(sub_request.id, None) is not None:
            self._transport.cancel_at_upstream(sub_request)
            self.handle_outcome(
                upstream.failure_of(sub_request, upstream.FailureReason.CANCELLED)
            )

    def handle_outcome(self, outcome: upstream.Outcome) -> None:
        """Handle an upstream's outcome of a sub-request that was sent to it."""
        self._sent_by_id.pop((outcome.request_id, outcome.attempt), None)
        self._apply(self._gates.complete(outcome))

    def refresh(self) -> None:
        """Re-evaluate the queues after a change of upstreams, hosts or zones."""
        self._apply(self._gates.refresh())

    def _apply(self, result: gates.GateResult) -> None:
        for outcome in result.outcomes:
            key = (outcome.request_id, outcome.attempt)
            origin_id = self._origin_ids_by_sub_request_id.pop(key, None)
            if origin_id is not None:
                self._transport.return_outcome(origin_id, outcome)
        for sub_request in result.to_send:
            self._sent_by_id[sub_request.id] = sub_request
            self._transport.send_to_upstream(sub_request)


# Events of the core after which a host refreshes its owner role.
REFRESHING_EVENTS = (
    events.DirectoryChanged,
    events.HostsChanged,
    events.ZonesDrained,
)
