"""Comparisons with peers, one at a time."""

from greengagehaven import rng as rngs
from greengagehaven.coordination.membership import (
    antientropy,
    calls,
    knowledge,
    outbox,
)
from greengagehaven.protocol import membership

# News that a comparison brought is passed on as rumors only where it is
# little; the rest is found by the others' own comparisons.
MAX_RUMORS = 32
INTERVAL_S = 0.1


class Syncing:
    """Starts a comparison where digests differ and carries it through.

    One at a time and not too often: after a long partition every host differs
    from every other, and comparisons all at once would be a storm.
    """

    def __init__(
        self, *, knowledge: knowledge.Knowledge, outbox: outbox.Outbox, rng: rngs.Rng
    ) -> None:
        self._known = knowledge
        self._outbox = outbox
        self._rng = rng
        self._current: antientropy.Sync | None = None
        self._start_at = 0.0

    def consider(self, answer: membership.Exchange) -> bool:
        """Start a comparison with who sent an answer, if there is cause.

        :return: whether both know the same.
        """
        differing = self._differing_zones(answer)
        if not differing:
            return True
        now = self._outbox.now
        if self._current is not None or now < self._start_at:
            return False
        self._start_at = now + INTERVAL_S
        zone = self._rng.choice(differing)
        self._current = antientropy.Sync(zone=zone, peer=answer.sender)
        purpose = calls.Compare(sync=self._current, asked_at=now)
        request = antientropy.request(self._known, zone)
        self._outbox.call(purpose, answer.sender, request)
        return False

    def on_compared(self, purpose: calls.Compare, reply: membership.SyncReply) -> None:
        """Take in the peer's versions and start the transfer."""
        antientropy.compare(self._known, purpose.sync, reply, purpose.asked_at)
        purpose.sync.is_bulk = purpose.sync.difference > MAX_RUMORS
        self.advance(purpose.sync)

    def advance(self, sync: antientropy.Sync) -> None:
        """Send the next part, or end the comparison."""
        if not sync.is_over:
            fields = antientropy.next_exchange(self._known, sync)
            message = self._outbox.plain(sync.peer.id, marked=True, **fields)
            self._outbox.call(calls.Transfer(sync=sync), sync.peer, message)
            return
        self._current = None
        if sync.is_whole:
            # Under steady change two digests are hardly ever equal; having
            # made up every difference is as good a proof.
            self._known.vouch(sync.zone, sync.age_ms, sync.peer, sync.asked_at)

    def on_failed(self, purpose: calls.Compare | calls.Transfer) -> None:
        """Give up a comparison whose peer fell silent."""
        if self._current is purpose.sync:
            self._current = None

    def _differing_zones(self, answer: membership.Exchange) -> list[str]:
        digests_by_zone = dict.fromkeys(self._known.digests.zones, 0)
        digests_by_zone.update((mark.zone, mark.digest) for mark in answer.marks)
        return [
            zone
            for zone, digest in digests_by_zone.items()
            if digest != self._known.digests.of_zone(zone)
        ]
