"""The way from one entry host to upstreams: gates, connections, other owners."""

import asyncio
import datetime
import ssl
import typing

from greengagehaven import clock as clocks
from greengagehaven.coordination import connections, core, events, peers
from greengagehaven.coordination import options as options_module
from greengagehaven.state import directory
from greengagehaven.transport import owner_channel, upstream_channel

AddressOf = typing.Callable[[str], str | None]

FINISH_POLL = datetime.timedelta(milliseconds=20)

_REFRESHING_EVENTS = (
    events.DirectoryChanged,
    events.ZonesDrained,
)


class UpstreamPath:
    """What an entry host needs between its core and the upstreams.

    :param decisions: the host's core, which knows owners and usable upstreams.
    :param peer_channel: calls to other hosts.
    :param address_of: returns the peer address of a host, or ``None``.
    :param has_left: whether a host left by word and finishes what it has.
    :param cancellation: how running sub-requests are given up.
    :param tls: context towards upstreams; ``None`` for plain TCP.
    """

    def __init__(
        self,
        *,
        host_id: str,
        clock: clocks.Clock,
        directory_view: directory.DirectoryView,
        decisions: core.Core,
        peer_channel: peers.PeerChannel,
        address_of: AddressOf,
        has_left: typing.Callable[[str], bool],
        options: options_module.Options,
        cancellation: upstream_channel.Cancellation = (
            upstream_channel.Cancellation.DELETE
        ),
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._directory = directory_view
        self._decisions = decisions
        self._limits = connections.ConnectionLimits(
            clock=clock, owners=decisions.owners, shared=options.shared_limits
        )
        self._direct = upstream_channel.DirectChannel(
            clock=clock,
            limit_of=self._limit_of,
            cancellation=cancellation,
            checks_stalls=options.connection_checks,
            tls=tls,
        )
        self.channel = owner_channel.OwnerChannel(
            host_id=host_id,
            clock=clock,
            directory_view=directory_view,
            owners=decisions.owners,
            upstream_gates=decisions.gates,
            direct=self._direct,
            peer_channel=peer_channel,
            address_of=address_of,
            has_left=has_left,
        )

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return what the peer server of this host has to serve."""
        return self.channel.handlers_by_method

    def on_hosts(self) -> None:
        """Take in that the core has heard of other live entry hosts."""
        self._limits.set_hosts(self._decisions.owners.zones_by_host_id)
        self.channel.hosts_changed()
        self._direct.limits_changed()

    def take_event(self, event: events.Event) -> None:
        """Take in what the core has heard of upstreams and zones."""
        if isinstance(event, _REFRESHING_EVENTS):
            self._limits.forget_departed(self._directory.upstreams_by_id)
            self.channel.upstreams_changed()

    async def finish(self, bound: datetime.timedelta) -> int:
        """Wait until nothing is left of what hosts sent through this owner.

        To be called once no host chooses this one as an owner any more.

        :param bound: longest wait.
        :return: sub-requests that are left.
        """
        for _ in range(int(bound / FINISH_POLL)):
            if self.channel.is_idle:
                break
            await asyncio.sleep(FINISH_POLL.total_seconds())
        return self.channel.held_count

    def close(self) -> None:
        """Cut every connection; every sub-request that is left fails."""
        self.channel.close()
        self._direct.close()

    def _limit_of(self, upstream_id: str) -> int:
        announcement = self._directory.upstreams_by_id.get(upstream_id)
        return 0 if announcement is None else self._limits.limit(announcement)
