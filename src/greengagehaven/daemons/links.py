"""Links between the zones of a ``dev`` environment, which can be cut.

A cut link behaves like a network that drops packets: a call fails only when its
timeout expires.
"""

import asyncio

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven.transport import grpc_peers


class Links:
    """The zone of each host, and the links that are cut."""

    def __init__(self) -> None:
        self._zones_by_address: dict[str, str] = {}
        self._cut: set[tuple[str, str]] = set()

    def place(self, address: str, zone: str) -> None:
        """Set the zone of a host's peer address."""
        self._zones_by_address[address] = zone

    def cut(self, source: str, target: str) -> None:
        """Drop every message from one zone to another."""
        self._cut.add((source, target))

    def heal(self) -> None:
        """Restore all links."""
        self._cut.clear()

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether messages from one zone to another are dropped."""
        return (source, target) in self._cut

    def zone_of(self, address: str) -> str:
        """Return the zone of a peer address, empty if it is not set."""
        return self._zones_by_address.get(address, "")


class LinkedClient(grpc_peers.GrpcPeerClient):
    """Calls to other hosts over links that can be cut.

    :param zone: the caller's availability zone.
    """

    def __init__(
        self, *, links: Links, zone: str, token: str | None, clock: clocks.Clock
    ) -> None:
        super().__init__(token=token, clock=clock)
        self._links = links
        self._zone = zone

    async def call(
        self, address: str, method: str, body: bytes, *, timeout: float
    ) -> bytes:
        """Call a host; a cut link drops the request or the reply.

        :param timeout: seconds to wait.
        :raises PeerError: no reply arrived in time.
        """
        target = self._links.zone_of(address)
        end = asyncio.get_running_loop().time() + timeout
        if self._links.is_cut(self._zone, target):
            return await _time_out(address, end)
        answer = await super().call(address, method, body, timeout=timeout)
        if self._links.is_cut(target, self._zone):
            return await _time_out(address, end)
        return answer


async def _time_out(address: str, end: float) -> bytes:
    await asyncio.sleep(end - asyncio.get_running_loop().time())
    raise exceptions.PeerError(f"{address}: no reply in time")
