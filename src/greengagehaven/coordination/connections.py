"""How many connections this host may hold to each upstream.

The connections of all hosts must stay within the upstream's cap, also while
hosts join, leave and disagree on who is live. Only the owner of an upstream
connects to it. While ownership moves, old and new owner each keep to a small
equal share: the old one gives that up after half of a hold-down, the new one
grows only after the whole of it, which is longer than the old one needs to hear
of the change and to shrink. A host that fell silent may live on behind a
partition with its connections open, so it counts for a stated time longer.

A quarter of the cap is for the owner and a quarter for the equal shares of all
that may become owner. So the cap holds even where a partition separates hosts,
but not the upstream, and leaves an owner on each side for as long as it lasts.
"""

import dataclasses
import datetime
import math
from collections import abc

from greengagehaven import clock as clock_module
from greengagehaven.coordination import ownership
from greengagehaven.protocol import upstream

HOLD_DOWN = datetime.timedelta(seconds=3)
ABSENCE = datetime.timedelta(seconds=10)
SPARE_CONNECTIONS = 2


@dataclasses.dataclass(kw_only=True, slots=True)
class _Tenure:
    """Whether this host owns an upstream, and since when that is so."""

    is_mine: bool
    since: float


class ConnectionLimits:
    """Connection caps of one host.

    :param owners: who sends to each upstream.
    :param shared: off, this host takes every upstream's whole cap.
    :param hold_down: wait of a new owner before it takes more than an equal
        share; longer than others need to hear of a change and to shrink.
    :param absence: how long a host that is no longer heard from still counts.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        owners: ownership.Ownership,
        shared: bool = True,
        hold_down: datetime.timedelta = HOLD_DOWN,
        absence: datetime.timedelta = ABSENCE,
    ) -> None:
        self._clock = clock
        self._owners = owners
        self._shared = shared
        self._hold_down = hold_down.total_seconds()
        self._absence = absence.total_seconds()
        self._last_heard_by_host_id: dict[str, float] = {}
        self._zones_by_host_id: dict[str, str] = {}
        self._tenures_by_id: dict[str, _Tenure] = {}

    def set_hosts(self, zones_by_host_id: abc.Mapping[str, str]) -> None:
        """Take in the live entry hosts; the owners must know them already."""
        now = self._clock.monotonic()
        for host_id, last_heard in list(self._last_heard_by_host_id.items()):
            if last_heard == math.inf:
                self._last_heard_by_host_id[host_id] = now
            elif last_heard < now - self._absence:
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
        tenure = self._tenure_of(announcement, now)
        held_for = now - tenure.since
        if tenure.is_mine and held_for >= self._hold_down:
            return self._whole_limit(announcement)
        if tenure.is_mine or held_for < self._hold_down / 2:
            return self._equal_share(announcement, now)
        return 0

    def forget_departed(self, live_ids: abc.Container[str]) -> None:
        """Drop what is kept about upstreams that left."""
        for upstream_id in list(self._tenures_by_id):
            if upstream_id not in live_ids:
                del self._tenures_by_id[upstream_id]

    def _tenure_of(self, announcement: upstream.Announcement, now: float) -> _Tenure:
        is_mine = self._owners.is_mine(announcement)
        tenure = self._tenures_by_id.get(announcement.id)
        if tenure is None:
            # A host that never owned the upstream has nothing to hand over.
            tenure = _Tenure(is_mine=is_mine, since=now if is_mine else -math.inf)
            self._tenures_by_id[announcement.id] = tenure
        elif tenure.is_mine != is_mine:
            tenure.is_mine = is_mine
            tenure.since = now
        return tenure

    def _whole_limit(self, announcement: upstream.Announcement) -> int:
        useful = announcement.slots + SPARE_CONNECTIONS
        return max(1, min(useful, announcement.max_connections // 4))

    def _equal_share(self, announcement: upstream.Announcement, now: float) -> int:
        candidates = self._count_candidates(announcement, now)
        share = announcement.max_connections // 4 // candidates
        return max(1, min(share, self._whole_limit(announcement)))

    def _count_candidates(self, announcement: upstream.Announcement, now: float) -> int:
        """Return how many hosts may own an upstream, silent ones included."""
        zone = announcement.availability_zone
        live_zones = self._owners.zones_by_host_id.values()
        heard_since = now - self._absence
        counted = [
            host_id
            for host_id, last_heard in self._last_heard_by_host_id.items()
            if last_heard > heard_since
            and (zone not in live_zones or self._zones_by_host_id[host_id] == zone)
        ]
        return max(1, len(counted))
