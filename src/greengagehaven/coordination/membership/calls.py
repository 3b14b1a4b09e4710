"""Pending calls and their purposes."""

import dataclasses

from greengagehaven.coordination.membership import anti_entropy, core_events
from greengagehaven.protocol import membership


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Probe:
    """A direct probe of a host in this host's zone."""

    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedProbe:
    """An indirect probe, sent through another host."""

    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Contact:
    """An exchange with another zone, a seed or a host that is considered dead.

    :param reason: why the host is contacted; at most one contact per host and
        reason is pending.
    :param host_id: id of the host, or its address if the id is unknown.
    """

    reason: str
    host_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Push:
    """Records sent at once.

    A failed push is not retried, as anti-entropy repairs the difference.
    """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForwardRenewals:
    """Lease renewals sent to a home host.

    :param tried_ids: hosts that failed to accept the renewals; ``None`` if they
        are relayed for another host, which is done only once.
    """

    home_id: str
    renewals: tuple[membership.Renewal, ...]
    tried_ids: tuple[str, ...] | None = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendNotices:
    """Notices sent to one host.

    :param attempts: number of attempts started so far.
    """

    host_id: str
    notices: tuple[membership.Notice, ...]
    attempts: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CompareZone:
    """A sync request that compares a zone with a peer.

    :param asked_at: when the request was sent, in monotonic seconds.
    """

    sync: anti_entropy.Sync
    asked_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TransferRecords:
    """Records sent in both directions after a comparison."""

    sync: anti_entropy.Sync


Purpose = (
    Probe
    | RelayedProbe
    | Contact
    | Push
    | ForwardRenewals
    | SendNotices
    | CompareZone
    | TransferRecords
)


class PendingCalls:
    """Assigns ids to calls and keeps their purposes until they end."""

    def __init__(self) -> None:
        self._last_id = 0
        self._purposes_by_id: dict[int, Purpose] = {}

    def start(
        self,
        purpose: Purpose,
        address: str,
        message: membership.Exchange | membership.SyncRequest,
        *,
        timeout: float,
        relay_address: str | None = None,
    ) -> core_events.Call:
        """Register a call and return the action that sends it.

        :param timeout: seconds to wait for the answer.
        :param relay_address: host that relays the message, ``None`` for no relay.
        """
        self._last_id += 1
        self._purposes_by_id[self._last_id] = purpose
        return core_events.Call(
            call_id=self._last_id,
            address=address,
            message=message,
            timeout=timeout,
            relay_address=relay_address,
        )

    def end(self, call_id: int) -> Purpose | None:
        """Remove a call; return its purpose, ``None`` if the id is unknown."""
        return self._purposes_by_id.pop(call_id, None)

    def is_pending(self, purpose: Purpose) -> bool:
        """Return whether a call with an equal purpose is pending."""
        return purpose in self._purposes_by_id.values()
