"""Limits on this host's sub-requests in flight for each upstream.

The owner of an upstream enforces its slots exactly, in a gate. The limits here keep the
queue at that gate short: sub-requests queued there are bound to one upstream, while
those in this host's own queue can still go to any replica, ordered by standing and
fairness.
"""

import typing

from greengagehaven.coordination import upstream_stats
from greengagehaven.protocol import upstream

_MIN_OVER_SHARE_SLOTS = 0.05


class UpstreamLimits(typing.Protocol):
    """Decides whether this host may send an upstream another sub-request."""

    def has_capacity(
        self,
        announcement: upstream.Announcement,
        stats: upstream_stats.UpstreamStats,
        now: float,
    ) -> bool:
        """Return whether this host may send one more sub-request."""

    def set_hosts(self, zones_by_host_id: dict[str, str]) -> None:
        """Update the live entry hosts, this one included."""


class SlotLimits:
    """Limits this host to all slots of an upstream, regardless of other hosts."""

    def has_capacity(
        self,
        announcement: upstream.Announcement,
        stats: upstream_stats.UpstreamStats,
        now: float,
    ) -> bool:
        """Return whether this host may send one more sub-request."""
        in_flight = stats.in_flight + len(stats.over_share_ids)
        return in_flight < max(1, announcement.slots)

    def set_hosts(self, zones_by_host_id: dict[str, str]) -> None:
        """Ignore the live entry hosts; this limit does not depend on them."""


class SharedLimits:
    """Gives each host an equal window, and free slots to any host that needs them.

    The windows of several hosts are rounded up and add up to at least one sub-request
    more than the slots, which keeps the slots busy while an outcome travels to the host
    and the next sub-request back. A host may also fill all slots while its peers send
    nothing; it learns this from the total load that the owner reports.
    """

    def __init__(self) -> None:
        self._host_count = 1

    def has_capacity(
        self,
        announcement: upstream.Announcement,
        stats: upstream_stats.UpstreamStats,
        now: float,
    ) -> bool:
        """Return whether this host may send one more sub-request."""
        in_flight = stats.in_flight
        if in_flight and stats.is_untried:
            return False
        slots = max(1, announcement.slots)
        window = slots
        if self._host_count > 1:
            window = -(-(slots + 1) // self._host_count)
        if stats.over_share_ids or stats.over_share(now) > _MIN_OVER_SHARE_SLOTS:
            # Sub-requests of subscribers over their share are queued at the gate
            # and would take the next free slot unless one of another subscriber
            # is queued there too.
            window += 1
        return in_flight < window or stats.load(now) < slots

    def set_hosts(self, zones_by_host_id: dict[str, str]) -> None:
        """Update the live entry hosts, this one included."""
        self._host_count = max(1, len(zones_by_host_id))
