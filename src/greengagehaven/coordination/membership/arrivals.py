"""What the course of announcements at this host proves."""

import dataclasses

from greengagehaven.protocol import upstream

# An upstream whose clock went back between two starts looks like late news of
# an older start. Late news does not go on and on; a living upstream does.
PROOFS_OF_LIFE = 3
PROOF_SPAN_S = 1.5
# Hosts of zones that are joined again find each other within the patience.
ADOPTION_PATIENCE_S = 1.0
# Shorter than most partitions, so that visits from before one do not count.
VISITS_FORGOTTEN_S = 3.0
MAX_REMEMBERED = 1000


@dataclasses.dataclass(kw_only=True, slots=True)
class _Course:
    incarnation: int
    sequence: int
    first_at: float
    proofs: int = 1


class Arrivals:
    """Remembers announcements that were not simply taken."""

    def __init__(self) -> None:
        self._courses_by_id: dict[str, _Course] = {}
        self._visits_by_zone: dict[str, tuple[float, float]] = {}

    def prove_life(self, announcement: upstream.Announcement, now: float) -> bool:
        """Tell whether an upstream with an older incarnation has proved to live.

        :param announcement: what it says by now.
        :param now: monotonic seconds.
        """
        if len(self._courses_by_id) > MAX_REMEMBERED:
            self._courses_by_id.clear()
        course = self._courses_by_id.get(announcement.id)
        if course is None or course.incarnation != announcement.incarnation:
            self._courses_by_id[announcement.id] = _Course(
                incarnation=announcement.incarnation,
                sequence=announcement.sequence,
                first_at=now,
            )
            return False
        if announcement.sequence <= course.sequence:
            return False
        course.sequence = announcement.sequence
        course.proofs += 1
        if course.proofs < PROOFS_OF_LIFE or now - course.first_at < PROOF_SPAN_S:
            return False
        del self._courses_by_id[announcement.id]
        return True

    def is_lasting(self, zone: str, now: float) -> bool:
        """Tell whether upstreams of a zone have been coming here for a while.

        When a partition heals, an upstream's announcement may cross before its
        zone's hosts do. Were its lease taken over at once, those hosts would hear
        that another zone keeps it, and stop using their own upstreams until that
        zone has vouched for itself: queries there find no replica for a moment.
        """
        if len(self._visits_by_zone) > MAX_REMEMBERED:
            self._visits_by_zone.clear()
        first, last = self._visits_by_zone.get(zone, (now, now))
        if now - last > VISITS_FORGOTTEN_S:
            first = now
        self._visits_by_zone[zone] = (first, now)
        return now - first > ADOPTION_PATIENCE_S
