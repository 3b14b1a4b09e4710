"""Selection of the control hosts that a host receives updates from, without I/O.

If hundreds of entry hosts received every change from every control host, most of
that traffic would cross availability zones, and all copies but the first would be
redundant. A host therefore follows one control host, in its own zone if possible,
and periodically compares digests with the others. After an initial wait it follows
all of them while none is known to be in contact with a majority.
"""

import dataclasses
import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven.coordination import rendezvous

INITIAL_WAIT_S = 1.0
"""Seconds after the first reply to wait for a control host of the own zone. If all
hosts start at the same time, some need longer than others."""

MAX_UNRESOLVED_S = 4.0
"""Seconds after which a lasting difference counts as missing updates although the
other control host's digest keeps changing."""

MIN_COMPARE_PERIOD_S = 3.0
MAX_COMPARE_PERIOD_S = 6.0
"""Bounds of the seconds between comparisons with one unfollowed control host."""

COMPARE_SPACING_S = 0.8
"""Seconds between comparisons with any unfollowed control host. An update that the
followed one lacks is held by most of the others, so one comparison in about a second
is enough."""


def compare_period(unfollowed_count: int) -> float:
    """Return the seconds between two comparisons with one control host.

    :param unfollowed_count: number of control hosts that are not followed.
    """
    period = COMPARE_SPACING_S * unfollowed_count
    return min(MAX_COMPARE_PERIOD_S, max(MIN_COMPARE_PERIOD_S, period))


class DigestComparison:
    """Detects updates that only a control host that is not followed has.

    ``is_unresolved`` is set while digests differ and the cause is not known yet.
    ``has_missing_updates`` is set once the followed host has had time to deliver the
    difference and has not.
    """

    def __init__(self) -> None:
        self.has_missing_updates = False
        self._differs_since: float | None = None
        self._last_digest: int | None = None
        self._ignored_digest: int | None = None

    @property
    def is_unresolved(self) -> bool:
        """Return whether a difference has to be checked again soon."""
        return self._differs_since is not None

    def on_digest_mismatch(self, digest: int, now: float, *, is_newer: bool) -> None:
        """Record a digest that differs from this host's.

        :param digest: digest of the other control host.
        :param now: monotonic seconds.
        :param is_newer: whether the other control host has a newer revision.
        """
        if digest == self._ignored_digest and not is_newer:
            self._differs_since = None
        elif self._differs_since is None:
            self._differs_since = now
        else:
            # If the digest is unchanged, the followed host has had time to deliver
            # the difference.
            is_unchanged = digest == self._last_digest
            has_timed_out = now - self._differs_since > MAX_UNRESOLVED_S
            self.has_missing_updates = is_unchanged or has_timed_out
        self._last_digest = digest

    def on_up_to_date(self, ignored_digest: int | None) -> None:
        """Record that this host has all updates of the other control host.

        :param ignored_digest: the other's digest if it still differs; this
            digest no longer counts as a difference.
        """
        self.has_missing_updates = False
        self._differs_since = None
        self._ignored_digest = ignored_digest


class ControlHostSelector(typing.Protocol):
    """Selects the control hosts from which all updates are received."""

    @property
    def is_initial_wait_over(self) -> bool:
        """Return whether the initial wait for replies is over."""

    def select(self, known: abc.Iterable[str]) -> frozenset[str]:
        """Return those of the ``known`` addresses to receive all updates from."""

    def on_reply(self, address: str, *, zone: str, has_quorum: bool) -> None:
        """Record a control host's zone and whether it can reach a majority."""

    def on_failure(self, address: str) -> None:
        """Record that a control host did not respond."""


class AllControlHosts:
    """Follows every control host; used by the control hosts themselves."""

    is_initial_wait_over = True

    def select(self, known: abc.Iterable[str]) -> frozenset[str]:
        """Return all ``known`` addresses."""
        return frozenset(known)

    def on_reply(self, address: str, *, zone: str, has_quorum: bool) -> None:
        """Record a control host's zone and whether it can reach a majority."""

    def on_failure(self, address: str) -> None:
        """Record that a control host did not respond."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _ControlHost:
    zone: str
    has_quorum: bool


class SameZoneControlHost:
    """Follows one control host that can reach a majority, in the own zone if possible.

    All hosts of a zone choose the same one, which then has the state of all of them.

    :param zone: availability zone of this host.
    :param clock: source of monotonic time.
    """

    def __init__(self, *, zone: str, clock: clocks.Clock) -> None:
        self._zone = zone
        self._clock = clock
        self._control_hosts_by_address: dict[str, _ControlHost] = {}
        self._initial_wait_ends = float("inf")

    @property
    def is_initial_wait_over(self) -> bool:
        """Return whether the initial wait for replies is over."""
        return self._clock.monotonic() >= self._initial_wait_ends

    def select(self, known: abc.Iterable[str]) -> frozenset[str]:
        """Return those of the ``known`` addresses to receive all updates from."""
        with_quorum = self._reachable(quorum_only=True)
        in_own_zone = self._in_own_zone(with_quorum)
        if not in_own_zone and not self.is_initial_wait_over:
            in_own_zone = self._in_own_zone(self._reachable())
        if in_own_zone:
            return frozenset({self._pick(in_own_zone)})
        if not self.is_initial_wait_over:
            return frozenset()
        if with_quorum:
            return frozenset({self._pick(with_quorum)})
        return frozenset(known)

    def on_reply(self, address: str, *, zone: str, has_quorum: bool) -> None:
        """Record a control host's zone and whether it can reach a majority."""
        if not self._control_hosts_by_address:
            now = self._clock.monotonic()
            self._initial_wait_ends = min(self._initial_wait_ends, now + INITIAL_WAIT_S)
        self._control_hosts_by_address[address] = _ControlHost(
            zone=zone, has_quorum=has_quorum
        )

    def on_failure(self, address: str) -> None:
        """Record that a control host did not respond."""
        self._control_hosts_by_address.pop(address, None)

    def _reachable(self, *, quorum_only: bool = False) -> list[str]:
        return [
            address
            for address, control_host in self._control_hosts_by_address.items()
            if control_host.has_quorum or not quorum_only
        ]

    def _in_own_zone(self, addresses: abc.Iterable[str]) -> list[str]:
        return [
            address
            for address in addresses
            if self._control_hosts_by_address[address].zone == self._zone
        ]

    def _pick(self, addresses: abc.Sequence[str]) -> str:
        return rendezvous.pick(self._zone, addresses)
