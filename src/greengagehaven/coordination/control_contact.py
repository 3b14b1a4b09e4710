"""Contact of a host with the control hosts, without I/O.

A host that hears from no control host goes on with the configuration that it has, and
nothing in that configuration shows that it is old. Other entry hosts may know better:
they are asked for the control hosts that they hear from.
"""

import dataclasses
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import log
from greengagehaven import rng as rngs

LOST_AFTER_S = 3.0
"""Seconds without a reply from a control host that reaches a majority after which the
contact counts as lost. The followed control host replies at least every 1.5 s."""

ASK_AFTER_S = 2.5
"""Seconds without contact after which entry hosts are asked for control hosts."""

ASK_PERIOD_S = 1.0
HOSTS_PER_ROUND = 2
MAX_FIRST_TO_ASK = 10_000

FORGET_AFTER_S = 30.0
"""Seconds without a reply after which a control host that was removed from the group
is no longer called."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Reply:
    heard_at: float
    has_quorum: bool


class ControlContact:
    """Decides from the replies of other hosts how current this host is.

    Only replies of control hosts that reach a majority count as contact: one that was
    cut off goes on replying with the state that it had.

    :param clock: monotonic time, including the time in suspension.
    :param rng: chooses the entry host to ask first, so that not all ask the same one.
    """

    def __init__(self, *, clock: clocks.Clock, rng: rngs.Rng) -> None:
        self._clock = clock
        now = clock.monotonic()
        self._heard_at = now
        self._replies_by_address: dict[str, _Reply] = {}
        self._watched_at_by_address: dict[str, float] = {}
        self._seeds: frozenset[str] = frozenset()
        self._members: frozenset[str] = frozenset()
        self._members_by_address: dict[str, frozenset[str]] = {}
        self._newest_revision = 0
        self._is_lost = False
        self._is_isolated = False
        self._asked_at = float("-inf")
        self._unanswered_since: float | None = None
        self._other_in_contact_at = float("-inf")
        self._next_to_ask = rng.randrange(MAX_FIRST_TO_ASK)

    @property
    def age(self) -> float:
        """Return the seconds since the last contact, or since the start."""
        return self._clock.monotonic() - self._heard_at

    @property
    def is_lost(self) -> bool:
        """Return whether the contact was lost at the last ``update``."""
        return self._is_lost

    @property
    def is_isolated(self) -> bool:
        """Return whether other entry hosts serve callers better than this one.

        Lost contact alone does not show that: if the control hosts are down, no entry
        host hears from them. Either another one does, or none of them answers this one.
        """
        return self._is_isolated

    @property
    def newest_revision(self) -> int:
        """Return the newest configuration revision that any host named."""
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

    def set_seeds(self, addresses: abc.Iterable[str]) -> None:
        """Set the control hosts that the settings name; they are never forgotten."""
        self._seeds = frozenset(addresses)

    def on_watched(self, address: str) -> None:
        """Record that a control host is called from now on."""
        self._watched_at_by_address[address] = self._clock.monotonic()

    def on_revision(self, revision: int) -> None:
        """Record the configuration revision of another host."""
        self._newest_revision = max(self._newest_revision, revision)

    def on_reply(
        self, address: str, *, has_quorum: bool, members: abc.Iterable[str] = ()
    ) -> None:
        """Record that the reply of a control host was applied.

        :param has_quorum: whether the control host reaches a majority.
        :param members: addresses of the group's members; empty if they are the same as
            in its last reply.
        """
        now = self._clock.monotonic()
        named = frozenset(members) or self._members_by_address.get(address, frozenset())
        self._members_by_address[address] = named
        self._replies_by_address[address] = _Reply(heard_at=now, has_quorum=has_quorum)
        if has_quorum:
            self._heard_at = now
            self._members = named
            self._unanswered_since = None

    def on_asked(self) -> None:
        """Record that another entry host was asked and has not answered yet."""
        if self._unanswered_since is None:
            self._unanswered_since = self._clock.monotonic()

    def on_entry_host_reply(self, *, is_in_contact: bool, revision: int) -> None:
        """Record the answer of another entry host.

        :param is_in_contact: whether it hears from a control host that reaches a
            majority.
        :param revision: its configuration revision.
        """
        self._unanswered_since = None
        self.on_revision(revision)
        if is_in_contact:
            self._other_in_contact_at = self._clock.monotonic()

    def hosts_to_ask(self, addresses: abc.Sequence[str]) -> tuple[str, ...]:
        """Return the entry hosts to ask now for control hosts, in turn.

        :param addresses: peer addresses of all known entry hosts.
        """
        now = self._clock.monotonic()
        if not addresses or self.age < ASK_AFTER_S:
            return ()
        if now - self._asked_at < ASK_PERIOD_S:
            return ()
        self._asked_at = now
        first = self._next_to_ask
        self._next_to_ask += HOSTS_PER_ROUND
        chosen = (
            addresses[(first + n) % len(addresses)] for n in range(HOSTS_PER_ROUND)
        )
        return tuple(dict.fromkeys(chosen))

    def removed_addresses(self) -> tuple[str, ...]:
        """Return the control hosts that need not be called any more.

        Nothing is forgotten without contact, as the list of members may be old then.
        """
        if self.age > LOST_AFTER_S or not self._members:
            return ()
        oldest = self._clock.monotonic() - FORGET_AFTER_S
        return tuple(
            address
            for address, watched_at in self._watched_at_by_address.items()
            if address not in self._seeds
            and address not in self._members
            and max(watched_at, self._last_reply_at(address)) < oldest
        )

    def forget(self, address: str) -> None:
        """Forget a control host that is no longer called."""
        self._watched_at_by_address.pop(address, None)
        self._replies_by_address.pop(address, None)
        self._members_by_address.pop(address, None)

    def update(self, *, held_revision: int) -> None:
        """Update ``is_lost`` and ``is_isolated``, and log what changed.

        :param held_revision: revision that this host holds.
        """
        self._update_lost(held_revision)
        self._update_isolated(held_revision)

    def _update_lost(self, held_revision: int) -> None:
        is_lost = self.age > LOST_AFTER_S
        if is_lost is self._is_lost:
            return
        self._is_lost = is_lost
        write = log.warning if is_lost else log.info
        write(
            "control_contact_lost" if is_lost else "control_contact_regained",
            age_ms=round(self.age * 1000),
            known=len(self._watched_at_by_address),
            current=len(self.current_addresses),
            revision=held_revision,
            newest_revision=self._newest_revision,
        )

    def _update_isolated(self, held_revision: int) -> None:
        reason = self._isolation_reason() if self._is_lost else ""
        if bool(reason) is self._is_isolated:
            return
        self._is_isolated = bool(reason)
        write = log.warning if reason else log.info
        write(
            "isolated" if reason else "isolation_ended",
            reason=reason,
            age_ms=round(self.age * 1000),
            revision=held_revision,
            newest_revision=self._newest_revision,
        )

    def _isolation_reason(self) -> str:
        now = self._clock.monotonic()
        if now - self._other_in_contact_at < LOST_AFTER_S:
            return "others_in_contact"
        unanswered_since = self._unanswered_since
        if unanswered_since is not None and now - unanswered_since > LOST_AFTER_S:
            return "no_answer"
        return ""

    def _last_reply_at(self, address: str) -> float:
        reply = self._replies_by_address.get(address)
        return float("-inf") if reply is None else reply.heard_at
