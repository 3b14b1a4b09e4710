"""Path from an entry host to the upstreams, directly or through their owners."""

import asyncio
import datetime
import ssl
import typing

from greengagehaven import clock as clocks
from greengagehaven.coordination import connections, core, events, peers
from greengagehaven.coordination import options as options_module
from greengagehaven.state import directory
from greengagehaven.transport import direct_channel, owner_channel

AddressOf = typing.Callable[[str], str | None]

IDLE_POLL = datetime.timedelta(milliseconds=20)

_UPSTREAM_CHANGES = (
    events.DirectoryChanged,
    events.ZonesDrained,
)


class UpstreamPath:
    """Connects a decision core to the upstreams, directly or through their owners.

    Each upstream is owned by one entry host, which limits the number of sub-requests
    in flight there (its gate); other hosts send their sub-requests to the owner.

    :param decision_core: the host's core, which has the owners and the gates.
    :param peer_channel: calls to other hosts.
    :param address_of: returns the peer address of a host, or ``None``.
    :param has_left: returns whether a host announced its departure and is finishing
        its sub-requests.
    :param cancellation: how running sub-requests are cancelled.
    :param tls: TLS context of connections to upstreams; ``None`` for plain TCP.
    """

    def __init__(
        self,
        *,
        host_id: str,
        clock: clocks.Clock,
        directory_view: directory.DirectoryView,
        decision_core: core.Core,
        peer_channel: peers.PeerChannel,
        address_of: AddressOf,
        has_left: typing.Callable[[str], bool],
        options: options_module.Options,
        cancellation: direct_channel.CancellationMode = (
            direct_channel.CancellationMode.DELETE
        ),
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._directory = directory_view
        self._decision_core = decision_core
        self._limits = connections.ConnectionLimits(
            clock=clock, owners=decision_core.ownership, shared=options.shared_limits
        )
        self._direct = direct_channel.DirectChannel(
            clock=clock,
            max_connections_of=self._limit_of,
            cancellation=cancellation,
            detects_stalls=options.connection_checks,
            tls=tls,
        )
        self.channel = owner_channel.OwnerChannel(
            host_id=host_id,
            clock=clock,
            directory_view=directory_view,
            owners=decision_core.ownership,
            upstream_gates=decision_core.gates,
            direct=self._direct,
            peer_channel=peer_channel,
            address_of=address_of,
            has_left=has_left,
        )

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return the handlers for the peer server of this host."""
        return self.channel.handlers_by_method

    def on_hosts(self) -> None:
        """Update owners and limits after the core applied a change of live hosts."""
        self._limits.set_hosts(self._decision_core.ownership.zones_by_host_id)
        self.channel.on_hosts_changed()
        self._direct.on_limits_changed()

    def on_event(self, event: events.Event) -> None:
        """Update limits after the core applied a change of upstreams or zones."""
        if isinstance(event, _UPSTREAM_CHANGES):
            self._limits.forget_departed(self._directory.upstreams_by_id)
            self.channel.on_upstreams_changed()

    async def wait_idle(self, bound: datetime.timedelta) -> int:
        """Wait until this host holds no sub-request as the owner of an upstream.

        To be called once no host chooses this one as an owner any more.

        :param bound: longest wait.
        :return: number of sub-requests still in flight.
        """
        for _ in range(int(bound / IDLE_POLL)):
            if self.channel.is_idle:
                break
            await asyncio.sleep(IDLE_POLL.total_seconds())
        return self.channel.owned_in_flight_count

    def close(self) -> None:
        """Close every connection; the sub-requests in flight fail."""
        self.channel.close()
        self._direct.close()

    def _limit_of(self, upstream_id: str) -> int:
        announcement = self._directory.upstreams_by_id.get(upstream_id)
        return 0 if announcement is None else self._limits.limit(announcement)
