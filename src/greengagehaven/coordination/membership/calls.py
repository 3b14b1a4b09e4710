"""Calls that are under way and what they are for."""

import dataclasses

from greengagehaven.coordination.membership import antientropy, signals
from greengagehaven.protocol import membership


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Probe:
    """A direct probe of a host of the own zone."""

    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedProbe:
    """A probe that another host passes on."""

    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Contact:
    """An exchange with another zone, a seed or a host that went silent.

    :param slot: why; there is at most one contact with a host for a reason.
    :param host_id: the host, or its address where the id is not known.
    """

    slot: str
    host_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Push:
    """News that is sent at once; anti-entropy makes up for a loss."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forward:
    """Renewals for a home host.

    :param tried_ids: hosts that did not take them; ``None`` where they are
        passed on for another host, once.
    """

    home_id: str
    renewals: tuple[membership.Renewal, ...]
    tried_ids: tuple[str, ...] | None = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tell:
    """Notices for one host."""

    host_id: str
    notices: tuple[membership.Notice, ...]
    attempts: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Compare:
    """The question where a peer differs about a zone."""

    sync: antientropy.Sync
    asked_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Transfer:
    """Records of a comparison that go both ways."""

    sync: antientropy.Sync


Purpose = Probe | RelayedProbe | Contact | Push | Forward | Tell | Compare | Transfer


class Calls:
    """Numbers calls and remembers their purpose until they end."""

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
    ) -> signals.Call:
        """Return the action that makes a call."""
        self._last_id += 1
        self._purposes_by_id[self._last_id] = purpose
        return signals.Call(
            call_id=self._last_id,
            address=address,
            message=message,
            timeout=timeout,
            relay_address=relay_address,
        )

    def end(self, call_id: int) -> Purpose | None:
        """Return what a call was for; it is over."""
        return self._purposes_by_id.pop(call_id, None)

    def is_under_way(self, purpose: Purpose) -> bool:
        """Tell whether a call for just this purpose is under way."""
        return purpose in self._purposes_by_id.values()
