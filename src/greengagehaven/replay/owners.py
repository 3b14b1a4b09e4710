"""The owner's part of a replayed entry host: the daemons' gates."""

import typing

from greengagehaven.coordination import core, events, gates
from greengagehaven.protocol import upstream
from greengagehaven.state import directory


class Links(typing.Protocol):
    """The ways from one host to the others and to upstreams."""

    def offer(self, owner_id: str, sub_request: upstream.SubRequest) -> None:
        """Carry a sub-request to its owner."""

    def withdraw(self, owner_id: str, sub_request: upstream.SubRequest) -> None:
        """Tell an owner that nobody waits for a sub-request."""

    def report(self, origin_id: str, outcome: upstream.Outcome) -> None:
        """Carry an outcome to the host that asked."""

    def send(self, sub_request: upstream.SubRequest) -> None:
        """Carry a sub-request to its upstream and the outcome back."""

    def stop(self, sub_request: upstream.SubRequest) -> None:
        """Tell an upstream that nobody waits for a sub-request."""


class ReplayedOwner:
    """Sub-requests on their way through owners, from and to one host.

    :param decisions: the host's core, which knows the owners.
    :param links: the ways to other hosts and to upstreams.
    """

    def __init__(
        self,
        *,
        host_id: str,
        directory_view: directory.DirectoryView,
        decisions: core.Core,
        links: Links,
    ) -> None:
        self._host_id = host_id
        self._directory = directory_view
        self._decisions = decisions
        self._links = links
        self._gates = decisions.gates
        self._owner_ids_by_id: dict[tuple[str, int], str] = {}
        self._origins_by_id: dict[tuple[str, int], str] = {}
        self._sent_by_id: dict[tuple[str, int], upstream.SubRequest] = {}

    def dispatch(self, sub_request: upstream.SubRequest) -> None:
        """Send a sub-request of this host's core on its way."""
        announcement = self._directory.upstreams_by_id.get(sub_request.upstream_id)
        owner_id = self._host_id
        if announcement is not None:
            owner_id = self._decisions.owners.owner_of(announcement)
        self._owner_ids_by_id[sub_request.id] = owner_id
        if owner_id == self._host_id:
            self.take_offer(self._host_id, sub_request)
        else:
            self._links.offer(owner_id, sub_request)

    def cancel(self, sub_request: upstream.SubRequest) -> None:
        """Give up on a sub-request of this host's core."""
        owner_id = self._owner_ids_by_id.pop(sub_request.id, None)
        if owner_id == self._host_id:
            self.take_withdrawal(sub_request)
        elif owner_id is not None:
            self._links.withdraw(owner_id, sub_request)

    @property
    def is_idle(self) -> bool:
        """Tell whether no sub-request is held, of any host."""
        return not self._origins_by_id

    def lost_ids(self, has_left: typing.Callable[[str], bool]) -> list[tuple[str, int]]:
        """Return what is at owners that are no longer live, once.

        :param has_left: whether a host left by word and finishes what it has.
        """
        live = self._decisions.owners.host_ids
        lost = [
            sub_request_id
            for sub_request_id, owner_id in self._owner_ids_by_id.items()
            if owner_id not in live and not has_left(owner_id)
        ]
        for sub_request_id in lost:
            del self._owner_ids_by_id[sub_request_id]
        return lost

    def forget(self, sub_request_id: tuple[str, int]) -> None:
        """Take in that the core has the outcome of a sub-request."""
        self._owner_ids_by_id.pop(sub_request_id, None)

    def take_offer(self, origin_id: str, sub_request: upstream.SubRequest) -> None:
        """Take a sub-request of a host for an upstream of this one."""
        self._origins_by_id[sub_request.id] = origin_id
        self._carry_out(self._gates.offer([sub_request]))

    def take_withdrawal(self, sub_request: upstream.SubRequest) -> None:
        """Take in that nobody waits for a sub-request any more."""
        self._origins_by_id.pop(sub_request.id, None)
        if self._gates.withdraw(*sub_request.id) is not None:
            return
        if self._sent_by_id.pop(sub_request.id, None) is not None:
            self._links.stop(sub_request)
            self.take_outcome(
                upstream.failure_of(sub_request, upstream.FailureReason.CANCELLED)
            )

    def take_outcome(self, outcome: upstream.Outcome) -> None:
        """Take an upstream's outcome for a sub-request that was sent."""
        self._sent_by_id.pop((outcome.request_id, outcome.attempt), None)
        self._carry_out(self._gates.end(outcome))

    def refresh(self) -> None:
        """Look again at upstreams after a change of any."""
        self._carry_out(self._gates.refresh())

    def _carry_out(self, passage: gates.Passage) -> None:
        for outcome in passage.outcomes:
            key = (outcome.request_id, outcome.attempt)
            origin_id = self._origins_by_id.pop(key, None)
            if origin_id is not None:
                self._links.report(origin_id, outcome)
        for sub_request in passage.to_send:
            self._sent_by_id[sub_request.id] = sub_request
            self._links.send(sub_request)


REFRESHING_EVENTS = (
    events.DirectoryChanged,
    events.HostsChanged,
    events.ZonesDrained,
)
