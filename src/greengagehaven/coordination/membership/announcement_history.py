"""History of announcements that could not be accepted at once."""

import dataclasses

from greengagehaven.protocol import upstream

# An upstream whose clock went back between two starts has a lower incarnation, as
# do delayed announcements from an earlier start. Delayed announcements stop
# arriving soon; those of a running upstream continue.
MIN_ALIVE_ANNOUNCEMENTS = 3
MIN_ALIVE_SPAN_S = 1.5
# Hosts of zones that are reconnected discover each other within this delay.
ZONE_ADOPTION_DELAY_S = 1.0
# Shorter than most partitions, so that announcements from before one don't count.
MAX_ANNOUNCEMENT_GAP_S = 3.0
MAX_ENTRIES = 1000


@dataclasses.dataclass(kw_only=True, slots=True)
class _Streak:
    incarnation: int
    sequence: int
    first_at: float
    count: int = 1


class AnnouncementHistory:
    """Tracks announcements by upstreams that restarted or changed zone.

    Each table is cleared when it exceeds ``MAX_ENTRIES`` entries.
    """

    def __init__(self) -> None:
        self._streaks_by_id: dict[str, _Streak] = {}
        self._arrival_spans_by_zone: dict[str, tuple[float, float]] = {}

    def record_and_check_alive(
        self, announcement: upstream.Announcement, now: float
    ) -> bool:
        """Record an announcement; return whether its older incarnation is running.

        The upstream counts as running after ``MIN_ALIVE_ANNOUNCEMENTS`` announcements
        with increasing sequence numbers over at least ``MIN_ALIVE_SPAN_S`` seconds.

        :param announcement: the latest announcement of the upstream.
        :param now: monotonic seconds.
        """
        if len(self._streaks_by_id) > MAX_ENTRIES:
            self._streaks_by_id.clear()
        streak = self._streaks_by_id.get(announcement.id)
        if streak is None or streak.incarnation != announcement.incarnation:
            self._streaks_by_id[announcement.id] = _Streak(
                incarnation=announcement.incarnation,
                sequence=announcement.sequence,
                first_at=now,
            )
            return False
        if announcement.sequence <= streak.sequence:
            return False
        streak.sequence = announcement.sequence
        streak.count += 1
        if (
            streak.count < MIN_ALIVE_ANNOUNCEMENTS
            or now - streak.first_at < MIN_ALIVE_SPAN_S
        ):
            return False
        del self._streaks_by_id[announcement.id]
        return True

    def record_and_check_lasting(self, zone: str, now: float) -> bool:
        """Record an arrival; return whether a zone's upstreams keep announcing here.

        When a partition heals, an upstream's announcement may arrive before gossip
        from its zone's hosts. If its lease were taken over at once, those hosts would
        learn that another zone holds the lease and would stop using their own upstreams
        until that zone is confirmed as fresh. Queries there would find no replica in
        the meantime.

        :param now: monotonic seconds.
        """
        if len(self._arrival_spans_by_zone) > MAX_ENTRIES:
            self._arrival_spans_by_zone.clear()
        first_at, last_at = self._arrival_spans_by_zone.get(zone, (now, now))
        if now - last_at > MAX_ANNOUNCEMENT_GAP_S:
            first_at = now
        self._arrival_spans_by_zone[zone] = (first_at, now)
        return now - first_at > ZONE_ADOPTION_DELAY_S
