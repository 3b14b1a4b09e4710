"""Handles the announcements of upstreams on a control host."""

from collections import abc

from greengagehaven.daemons import roster_feed
from greengagehaven.protocol import watching


class Registrar:
    """Adds announcements to the roster and confirms departures of upstreams.

    :param feed: publishes the roster to other hosts.
    :param min_control_hosts: returns how many other control hosts must have received
        that an upstream leaves before the upstream is told that it may.
    """

    def __init__(
        self, *, feed: roster_feed.RosterFeed, min_control_hosts: abc.Callable[[], int]
    ) -> None:
        self._feed = feed
        self._min_control_hosts = min_control_hosts

    async def announce(self, entry: watching.UpstreamEntry) -> None:
        """Apply an announcement.

        :raises QuorumLostError: the upstream is draining, and too few hosts have
            received that.
        """
        self._feed.announce(entry)
        if entry.stage is watching.Stage.DRAINING:
            await self._hand_over(entry.id)

    async def withdraw(self, upstream_id: str, incarnation: int | None) -> None:
        """Apply the withdrawal of an upstream.

        :param incarnation: the incarnation that withdraws, ``None`` for the latest.
        :raises QuorumLostError: too few hosts have received the withdrawal.
        """
        held = self._feed.roster.items_by_id.get(upstream_id)
        if held is not None:
            latest = held.entry.incarnation
            if incarnation is not None and incarnation < latest:
                return
            gone = held.entry.as_gone(incarnation)
        elif incarnation is not None:
            # This host may have started after the last announcement of the
            # upstream, while other hosts still send requests to it.
            gone = watching.build_gone_entry(upstream_id, incarnation)
        else:
            return
        self._feed.announce(gone)
        await self._hand_over(upstream_id)

    async def _hand_over(self, upstream_id: str) -> None:
        held = self._feed.roster.items_by_id.get(upstream_id)
        if held is not None:
            await self._feed.wait_until_held(
                held.version, min_control_hosts=self._min_control_hosts()
            )
