"""Takes what upstreams announce to a control host."""

from collections import abc

from greengagehaven.daemons import roster_feed
from greengagehaven.protocol import watching


class Registrar:
    """Puts announcements into the roster, and vouches for those that leave.

    :param feed: hands the roster on.
    :param least_controls: gives how many other control hosts have to hold that an
        upstream leaves before it is told that it may.
    """

    def __init__(
        self, *, feed: roster_feed.RosterFeed, least_controls: abc.Callable[[], int]
    ) -> None:
        self._feed = feed
        self._least_controls = least_controls

    async def announce(self, entry: watching.UpstreamEntry) -> None:
        """Take an announcement.

        :raises QuorumLostError: it leaves, and too few hosts have heard of it.
        """
        self._feed.announce(entry)
        if entry.stage is watching.Stage.DRAINING:
            await self._hand_over(entry.id)

    async def withdraw(self, upstream_id: str, incarnation: int | None) -> None:
        """Take the goodbye of an upstream.

        :param incarnation: the start that says goodbye, ``None`` for the last.
        :raises QuorumLostError: too few hosts have heard of it.
        """
        held = self._feed.roster.held_by_id.get(upstream_id)
        if held is not None:
            known = held.entry.incarnation
            if incarnation is not None and incarnation < known:
                return
            gone = held.entry.as_gone(incarnation)
        elif incarnation is not None:
            # This host may have started after the upstream's last announcement,
            # while other hosts still send to it.
            gone = watching.unknown_gone(upstream_id, incarnation)
        else:
            return
        self._feed.announce(gone)
        await self._hand_over(upstream_id)

    async def _hand_over(self, upstream_id: str) -> None:
        held = self._feed.roster.held_by_id.get(upstream_id)
        if held is not None:
            await self._feed.hand_over(
                held.version, least_controls=self._least_controls()
            )
