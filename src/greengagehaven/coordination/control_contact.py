"""How current an entry host's contact with the control hosts is, without I/O.

A host that hears from no control host goes on with the configuration that it has, and
nothing in that configuration shows that it is old.
"""

import dataclasses

from greengagehaven import clock as clocks
from greengagehaven import log

LOST_AFTER_S = 3.0
"""Seconds without a reply from a control host that reaches a majority after which the
contact counts as lost. The followed control host replies at least every 1.5 s."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Reply:
    heard_at: float
    has_quorum: bool


class ControlContact:
    """Records the replies of control hosts.

    Only replies of those that reach a majority count as contact: one that was cut off
    goes on replying with the state that it had.

    :param clock: monotonic time, including the time in suspension.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._heard_at = clock.monotonic()
        self._replies_by_address: dict[str, _Reply] = {}
        self._newest_revision = 0
        self._is_lost = False

    @property
    def age(self) -> float:
        """Return the seconds since the last contact, or since the start."""
        return self._clock.monotonic() - self._heard_at

    @property
    def is_lost(self) -> bool:
        """Return whether the contact was lost at the last ``update``."""
        return self._is_lost

    @property
    def newest_revision(self) -> int:
        """Return the newest configuration revision that any control host named."""
        return self._newest_revision

    @property
    def current_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the control hosts that are in contact now."""
        oldest = self._clock.monotonic() - LOST_AFTER_S
        return tuple(
            address
            for address, reply in self._replies_by_address.items()
            if reply.has_quorum and reply.heard_at > oldest
        )

    def on_revision(self, revision: int) -> None:
        """Record the configuration revision that a control host has."""
        self._newest_revision = max(self._newest_revision, revision)

    def on_reply(self, address: str, *, has_quorum: bool) -> None:
        """Record that the reply of a control host was applied.

        :param has_quorum: whether the control host reaches a majority.
        """
        now = self._clock.monotonic()
        self._replies_by_address[address] = _Reply(heard_at=now, has_quorum=has_quorum)
        if has_quorum:
            self._heard_at = now

    def update(self, *, held_revision: int, known_count: int) -> None:
        """Update ``is_lost``, and log if it changed.

        :param held_revision: revision that this host holds.
        :param known_count: number of control hosts that this host calls.
        """
        is_lost = self.age > LOST_AFTER_S
        if is_lost is self._is_lost:
            return
        self._is_lost = is_lost
        write = log.warning if is_lost else log.info
        write(
            "control_contact_lost" if is_lost else "control_contact_regained",
            age_ms=round(self.age * 1000),
            known=known_count,
            current=len(self.current_addresses),
            revision=held_revision,
            newest_revision=self._newest_revision,
        )
