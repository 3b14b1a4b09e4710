"""Scheduling of anti-entropy with peers, one at a time."""

from greengagehaven import rng as rngs
from greengagehaven.coordination.membership import (
    anti_entropy,
    calls,
    cluster_view,
    outbox,
)
from greengagehaven.protocol import membership

# Records received by a comparison are gossiped only if there are at most this
# many; other hosts find larger differences by their own comparisons.
MAX_RUMORED_RECORDS = 32
MIN_SYNC_INTERVAL_S = 0.1


class Synchronizer:
    """Starts a comparison if digests differ, and runs it to completion.

    Comparisons run one at a time and are rate-limited. After a long partition every
    host differs from every other, and simultaneous comparisons would overload them
    all.
    """

    def __init__(
        self, *, view: cluster_view.ClusterView, outbox: outbox.Outbox, rng: rngs.Rng
    ) -> None:
        self._view = view
        self._outbox = outbox
        self._rng = rng
        self._current: anti_entropy.Sync | None = None
        self._start_at = 0.0

    def start_unless_equal(self, answer: membership.Exchange) -> bool:
        """Start a comparison with the sender of an answer if a zone differs.

        :return: whether both hosts have the same view.
        """
        differing = self._differing_zones(answer)
        if not differing:
            return True
        now = self._outbox.now
        if self._current is not None or now < self._start_at:
            return False
        self._start_at = now + MIN_SYNC_INTERVAL_S
        zone = self._rng.choice(differing)
        self._current = anti_entropy.Sync(zone=zone, peer=answer.sender)
        purpose = calls.CompareZone(sync=self._current, asked_at=now)
        request = anti_entropy.build_request(self._view, zone)
        self._outbox.call(purpose, answer.sender, request)
        return False

    def on_compared(
        self, purpose: calls.CompareZone, reply: membership.SyncReply
    ) -> None:
        """Process the peer's versions and start the transfer."""
        anti_entropy.plan_transfer(self._view, purpose.sync, reply, purpose.asked_at)
        purpose.sync.is_bulk = purpose.sync.wanted_count > MAX_RUMORED_RECORDS
        self.advance(purpose.sync)

    def advance(self, sync: anti_entropy.Sync) -> None:
        """Send the next batch, or finish the comparison."""
        if not sync.is_finished:
            fields = anti_entropy.next_batch(self._view, sync)
            message = self._outbox.compose_plain(
                sync.peer.id, with_zone_digests=True, **fields
            )
            self._outbox.call(calls.TransferRecords(sync=sync), sync.peer, message)
            return
        self._current = None
        if sync.is_whole:
            # Under constant change two digests are rarely equal, but having
            # synchronized every difference proves an equal view as well.
            self._view.confirm_zone(sync.zone, sync.age_ms, sync.peer, sync.asked_at)

    def on_failed(self, purpose: calls.CompareZone | calls.TransferRecords) -> None:
        """Abort a comparison whose peer did not answer."""
        if self._current is purpose.sync:
            self._current = None

    def _differing_zones(self, answer: membership.Exchange) -> list[str]:
        digests_by_zone = dict.fromkeys(self._view.zone_digests.zones, 0)
        digests_by_zone.update((each.zone, each.digest) for each in answer.zone_digests)
        return [
            zone
            for zone, digest in digests_by_zone.items()
            if digest != self._view.zone_digests.of_zone(zone)
        ]
