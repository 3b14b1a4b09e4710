"""How many sub-requests this host may have out for each upstream.

The gate at an upstream's owner holds its work to its slots exactly. The limits
here keep the queue at that gate short: what waits at a gate is bound to one
upstream, what waits in this host's own queue can still go to any replica, and
in the order of standing and fairness.
"""

import typing

from greengagehaven.coordination import upstream_stats
from greengagehaven.protocol import upstream

_OVER_SHARE_SEEN = 0.05


class Limits(typing.Protocol):
    """Decides whether an upstream may get one more sub-request from here."""

    def has_room(
        self,
        announcement: upstream.Announcement,
        stats: upstream_stats.UpstreamStats,
        now: float,
    ) -> bool:
        """Tell whether one more fits beside what this host has out."""

    def set_hosts(self, zones_by_host_id: dict[str, str]) -> None:
        """Take in the live entry hosts, this one included."""


class SlotLimits:
    """Limit of an upstream's whole slots, without regard to other hosts."""

    def has_room(
        self,
        announcement: upstream.Announcement,
        stats: upstream_stats.UpstreamStats,
        now: float,
    ) -> bool:
        """Tell whether one more fits beside what this host has out."""
        in_flight = stats.in_flight + len(stats.over_share_ids)
        return in_flight < max(1, announcement.slots)

    def set_hosts(self, zones_by_host_id: dict[str, str]) -> None:
        """Take in the live entry hosts; this limit does not depend on them."""


class SharedLimits:
    """Equal windows of all hosts, and all free slots for whoever needs them.

    The windows add up to one sub-request above the slots, which keeps the
    slots busy while an outcome travels to the host and the next sub-request
    back. A host whose peers have nothing to send may fill the slots alone: the
    owner's reports of the whole load tell it.
    """

    def __init__(self) -> None:
        self._host_count = 1

    def has_room(
        self,
        announcement: upstream.Announcement,
        stats: upstream_stats.UpstreamStats,
        now: float,
    ) -> bool:
        """Tell whether one more fits beside what this host has out."""
        in_flight = stats.in_flight
        if in_flight and stats.is_untried:
            return False
        slots = max(1, announcement.slots)
        window = slots
        if self._host_count > 1:
            window = -(-(slots + 1) // self._host_count)
        if stats.over_share_ids or stats.over_share(now) > _OVER_SHARE_SEEN:
            # Work of subscribers over their share waits at the gate. It would
            # take the next free slot unless one of the others waits there too.
            window += 1
        return in_flight < window or stats.load(now) < slots

    def set_hosts(self, zones_by_host_id: dict[str, str]) -> None:
        """Take in the live entry hosts, this one included."""
        self._host_count = max(1, len(zones_by_host_id))
