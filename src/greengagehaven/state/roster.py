"""Upstreams that announced themselves, as control hosts hand them on.

What control hosts and entry hosts hold is merged by (incarnation, sequence), so
the order in which news arrives does not matter. A host that was away asks for
what changed since a version of the host that it asks. Two rosters with the same
digest hold the same upstreams in the same stages, whatever their versions.
"""

import collections
import dataclasses
from collections import abc

import xxhash

from greengagehaven.protocol import watching

GONE_KEPT_S = 120.0
MAX_GAP_S = 1.5
RECALLED_KEPT_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Held:
    """An entry as this host holds it; moments are on its monotonic clock.

    :param version: this host's count when the entry last changed here.
    """

    entry: watching.UpstreamEntry
    cold_until: float
    changed_at: float
    version: int


class Roster:
    """Entries by id; each change gets the next version.

    :param holder: name of this host, for entries that it hears itself.
    :param silence: seconds without an announcement after which an upstream that
        this host heard last is told to be silent.
    """

    def __init__(self, *, holder: str, silence: float) -> None:
        self.version = 0
        self.digest = 0
        self._holder = holder
        self._silence = silence
        self._held_by_id: collections.OrderedDict[str, Held] = collections.OrderedDict()
        self._ids_by_service: dict[str, dict[str, None]] = {}
        self._id_by_address: dict[str, str] = {}
        self._heard_at_by_id: dict[str, float] = {}
        self._recalled_ids: set[str] = set()
        self._swept_at: float | None = None

    @property
    def held_by_id(self) -> abc.Mapping[str, Held]:
        """Return every entry, gone ones included while they are remembered."""
        return self._held_by_id

    def of_service(self, service: str) -> list[Held]:
        """Return the entries of one service's upstreams."""
        ids = self._ids_by_service.get(service, ())
        return [self._held_by_id[upstream_id] for upstream_id in ids]

    def announce(self, entry: watching.UpstreamEntry, now: float) -> bool:
        """Take an announcement made to this host; return whether it is news.

        A renewal that says nothing new changes nothing, so that only changes
        travel to other hosts.
        """
        held = self._held_by_id.get(entry.id)
        known = None if held is None else held.entry
        if known is not None and entry.order < known.order:
            return False
        self._heard_at_by_id[entry.id] = now
        entry = entry.with_holder(self._holder)
        is_confirmed = entry.id not in self._recalled_ids
        if known is not None and is_confirmed and self._says_same(entry, now):
            # The sequence is kept without a version: a late older announcement
            # must not win, but nobody else needs to hear of a renewal.
            assert held is not None
            renewed = entry.as_renewal_of(known)
            self._held_by_id[entry.id] = dataclasses.replace(held, entry=renewed)
            return False
        return self._put(entry.as_news(), now)

    def _says_same(self, entry: watching.UpstreamEntry, now: float) -> bool:
        """Tell whether others know all this of an upstream.

        That a cold start ends when it was said to end is no news: each host works
        it out for itself, and all upstreams that start together end it together.
        """
        held = self._held_by_id[entry.id]
        left_ms = max(0, round((held.cold_until - now) * 1000))
        return held.entry.with_cold(left_ms).says_same(entry)

    def merge(self, entry: watching.UpstreamEntry, now: float) -> bool:
        """Take an entry of another host; return whether it is news."""
        held = self._held_by_id.get(entry.id)
        if held is not None and entry.order <= held.entry.order:
            return False
        return self._put(entry, now)

    def recall(self, entry: watching.UpstreamEntry, now: float) -> None:
        """Take an entry that was kept over a restart.

        It counts as heard a while ago: an upstream that left meanwhile, or that
        others know to drain, must not be taken for ready much longer. Its next
        announcement is news, so that each control host learns who hears it.
        """
        if entry.id in self._held_by_id:
            return
        if self._put(entry.with_holder(self._holder), now):
            self._recalled_ids.add(entry.id)
            self._heard_at_by_id[entry.id] = now - self._silence + RECALLED_KEPT_S

    def ready(self, now: float) -> tuple[watching.UpstreamEntry, ...]:
        """Return the entries of all upstreams that are ready."""
        return tuple(
            entry for entry in self.since(0, now) if entry.stage is watching.Stage.READY
        )

    def since(self, version: int, now: float) -> tuple[watching.UpstreamEntry, ...]:
        """Return the entries that changed after ``version``."""
        changed = []
        for held in reversed(self._held_by_id.values()):
            if held.version <= version:
                break
            left_ms = max(0, round((held.cold_until - now) * 1000))
            changed.append(held.entry.with_cold(left_ms))
        changed.reverse()
        return tuple(changed)

    def sweep(self, now: float) -> list[watching.UpstreamEntry]:
        """Mark upstreams that fell silent here, and return them.

        A host that stood still itself hears all announcements late. It would
        call every upstream silent when it wakes, so it starts counting anew.
        """
        stood_still = self._swept_at is not None and now - self._swept_at > MAX_GAP_S
        self._swept_at = now
        if stood_still:
            self._heard_at_by_id = dict.fromkeys(self._heard_at_by_id, now)
        silent = []
        for upstream_id, heard_at in list(self._heard_at_by_id.items()):
            held = self._held_by_id.get(upstream_id)
            if held is None or held.entry.holder != self._holder:
                del self._heard_at_by_id[upstream_id]
            elif now - heard_at > self._silence and held.entry.is_live:
                del self._heard_at_by_id[upstream_id]
                entry = held.entry.as_silent()
                self._put(entry, now)
                silent.append(entry)
        self.forget_gone(now)
        return silent

    def _put(self, entry: watching.UpstreamEntry, now: float) -> bool:
        if entry.is_live and not self._take_address(entry, now):
            return False
        self._store(entry, now)
        return True

    def _take_address(self, entry: watching.UpstreamEntry, now: float) -> bool:
        """Give the address to the later incarnation; return whether it is this.

        Addresses are used again. An announcement that was held up by a
        partition may arrive after its sender died and another one took over.
        """
        owner = self._held_by_id.get(self._id_by_address.get(entry.address, ""))
        is_other = owner is not None and owner.entry.id != entry.id
        if is_other and owner.entry.is_live and owner.entry.address == entry.address:
            if owner.entry.incarnation > entry.incarnation:
                return False
            self._store(owner.entry.as_gone(), now)
        self._id_by_address[entry.address] = entry.id
        return True

    def _store(self, entry: watching.UpstreamEntry, now: float) -> None:
        self.version += 1
        held = self._held_by_id.get(entry.id)
        if held is not None:
            self.digest ^= _digest_of(held.entry)
        self.digest ^= _digest_of(entry)
        self._recalled_ids.discard(entry.id)
        if held is not None and held.entry.service != entry.service:
            self._leave_service(held.entry)
        self._ids_by_service.setdefault(entry.service, {})[entry.id] = None
        self._held_by_id[entry.id] = Held(
            entry=entry,
            cold_until=now + entry.cold_left_ms / 1000,
            changed_at=now,
            version=self.version,
        )
        self._held_by_id.move_to_end(entry.id)

    def forget_gone(self, now: float) -> None:
        """Forget upstreams that have been gone or silent for long."""
        for upstream_id, held in list(self._held_by_id.items()):
            if now - held.changed_at < GONE_KEPT_S:
                return
            if held.entry.is_live:
                continue
            del self._held_by_id[upstream_id]
            self._leave_service(held.entry)
            self.digest ^= _digest_of(held.entry)
            if self._id_by_address.get(held.entry.address) == upstream_id:
                del self._id_by_address[held.entry.address]

    def _leave_service(self, entry: watching.UpstreamEntry) -> None:
        ids = self._ids_by_service[entry.service]
        del ids[entry.id]
        if not ids:
            del self._ids_by_service[entry.service]


def _digest_of(entry: watching.UpstreamEntry) -> int:
    """Return what tells an entry from others; one that is gone is as none."""
    if entry.stage is watching.Stage.GONE:
        return 0
    told = f"{entry.id}\0{entry.incarnation}\0{entry.changed_sequence}\0{entry.stage}"
    return xxhash.xxh64_intdigest(told.encode())
