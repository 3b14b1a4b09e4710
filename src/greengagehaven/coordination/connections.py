"""Limits on the connections from this host to each upstream.

The connections of all hosts together must stay within the upstream's
``max_connections``, also while hosts join, leave or disagree on which hosts are live.
Only the owner of an upstream connects to it. While ownership moves, the old and the new
owner are each limited to a small equal share: the old owner closes its connections
after half of ``HOLD_DOWN``, and the new owner exceeds its equal share only after the
full ``HOLD_DOWN``, which is longer than the old owner needs to learn of the change and
to close its connections. A host that is no longer heard from may still be running
behind a partition with its connections open, so it counts as a candidate for
``SILENT_HOST_RETENTION`` longer.

The owner may use a quarter of the maximum, and the equal shares of all candidate owners
together another quarter. The maximum therefore holds even if a partition separates
hosts from each other but not from the upstream, and leaves an owner on each side while
it lasts.
"""

import dataclasses
import datetime
import math
from collections import abc

from greengagehaven import clock as clock_module
from greengagehaven.coordination import ownership
from greengagehaven.protocol import upstream

HOLD_DOWN = datetime.timedelta(seconds=3)
SILENT_HOST_RETENTION = datetime.timedelta(seconds=10)
# Connections that an owner may hold beyond the slots of the upstream.
SPARE_CONNECTIONS = 2


@dataclasses.dataclass(kw_only=True, slots=True)
class _OwnershipState:
    """Whether this host owns an upstream, and since when (monotonic seconds)."""

    is_mine: bool
    since: float


class ConnectionLimits:
    """Connection limits of this host for each upstream.

    :param owners: the owner of each upstream.
    :param shared: if false, this host may use the full maximum of each upstream.
    :param hold_down: time that a new owner waits before it exceeds an equal share;
        longer than the other hosts need to learn of the change and to close their
        connections.
    :param silent_host_retention: how long a host that is no longer heard from still
        counts as a candidate owner.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        owners: ownership.Ownership,
        shared: bool = True,
        hold_down: datetime.timedelta = HOLD_DOWN,
        silent_host_retention: datetime.timedelta = SILENT_HOST_RETENTION,
    ) -> None:
        self._clock = clock
        self._owners = owners
        self._shared = shared
        self._hold_down = hold_down.total_seconds()
        self._silent_host_retention = silent_host_retention.total_seconds()
        self._last_heard_by_host_id: dict[str, float] = {}
        self._zones_by_host_id: dict[str, str] = {}
        self._states_by_id: dict[str, _OwnershipState] = {}

    def set_hosts(self, zones_by_host_id: abc.Mapping[str, str]) -> None:
        """Update the live entry hosts; the owners must have been updated before."""
        now = self._clock.monotonic()
        for host_id, last_heard in list(self._last_heard_by_host_id.items()):
            if last_heard == math.inf:
                self._last_heard_by_host_id[host_id] = now
            elif last_heard < now - self._silent_host_retention:
                del self._last_heard_by_host_id[host_id]
                del self._zones_by_host_id[host_id]
        for host_id, zone in zones_by_host_id.items():
            self._last_heard_by_host_id[host_id] = math.inf
            self._zones_by_host_id[host_id] = zone

    def limit(self, announcement: upstream.Announcement) -> int:
        """Return how many connections this host may hold to an upstream now."""
        if not self._shared:
            return max(1, announcement.max_connections)
        now = self._clock.monotonic()
        state = self._update_state(announcement, now)
        since_change = now - state.since
        if state.is_mine and since_change >= self._hold_down:
            return self._owner_limit(announcement)
        if state.is_mine or since_change < self._hold_down / 2:
            return self._equal_share(announcement, now)
        return 0

    def forget_departed(self, live_ids: abc.Container[str]) -> None:
        """Remove the ownership state of upstreams that are no longer live."""
        for upstream_id in list(self._states_by_id):
            if upstream_id not in live_ids:
                del self._states_by_id[upstream_id]

    def _update_state(
        self, announcement: upstream.Announcement, now: float
    ) -> _OwnershipState:
        is_mine = self._owners.is_owned_here(announcement)
        state = self._states_by_id.get(announcement.id)
        if state is None:
            # A host that never owned the upstream has no connections to close.
            state = _OwnershipState(
                is_mine=is_mine, since=now if is_mine else -math.inf
            )
            self._states_by_id[announcement.id] = state
        elif state.is_mine != is_mine:
            state.is_mine = is_mine
            state.since = now
        return state

    def _owner_limit(self, announcement: upstream.Announcement) -> int:
        usable = announcement.slots + SPARE_CONNECTIONS
        return max(1, min(usable, announcement.max_connections // 4))

    def _equal_share(self, announcement: upstream.Announcement, now: float) -> int:
        candidates = self._count_candidates(announcement, now)
        share = announcement.max_connections // 4 // candidates
        return max(1, min(share, self._owner_limit(announcement)))

    def _count_candidates(self, announcement: upstream.Announcement, now: float) -> int:
        """Return how many hosts may own an upstream, recently silent ones included."""
        zone = announcement.availability_zone
        live_zones = self._owners.zones_by_host_id.values()
        heard_since = now - self._silent_host_retention
        counted = [
            host_id
            for host_id, last_heard in self._last_heard_by_host_id.items()
            if last_heard > heard_since
            and (zone not in live_zones or self._zones_by_host_id[host_id] == zone)
        ]
        return max(1, len(counted))
