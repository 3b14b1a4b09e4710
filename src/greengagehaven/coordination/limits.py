"""How many sub-requests this host may have in flight at each upstream."""

import typing

from greengagehaven.protocol import upstream


class Limits(typing.Protocol):
    """Decides whether an upstream may get one more sub-request from here."""

    def has_room(self, announcement: upstream.Announcement, in_flight: int) -> bool:
        """Tell whether one more fits beside ``in_flight`` of this host."""

    def set_hosts(self, zones_by_host_id: dict[str, str]) -> None:
        """Take in the live entry hosts, this one included."""


class SlotLimits:
    """Limit of an upstream's whole slots, without regard to other hosts."""

    def has_room(self, announcement: upstream.Announcement, in_flight: int) -> bool:
        """Tell whether one more fits beside ``in_flight`` of this host."""
        return in_flight < max(1, announcement.slots)

    def set_hosts(self, zones_by_host_id: dict[str, str]) -> None:
        """Take in the live entry hosts; this limit does not depend on them."""
