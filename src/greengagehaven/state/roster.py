"""Roster: the upstreams that announced themselves, as distributed by control hosts.

Control hosts and entry hosts merge entries by (incarnation, sequence), so the order
in which updates arrive doesn't matter. Versions are local to a host: a follower asks
a host for the changes since a version of that host. Two rosters with the same digest
have the same upstreams in the same stages, whatever their versions.
"""

import collections
import dataclasses
from collections import abc

import xxhash

from greengagehaven.protocol import watching

# Time for which upstreams that are gone or silent are remembered.
GONE_RETENTION_S = 120.0
# Time between two calls of ``mark_silent`` above which this host must have been
# suspended.
MAX_SILENCE_CHECK_GAP_S = 1.5
# Change of the end of a cold start that is not sent to other hosts: announcements take
# that long on their way.
MAX_COLD_DRIFT_MS = 100
# Time within which an upstream that was restored from disk has to announce itself.
RESTORED_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RosterItem:
    """An entry with the local state of this host.

    :param cold_until: end of the cold start, in seconds of the monotonic clock.
    :param changed_at: last change on this host, in seconds of the monotonic clock.
    :param version: version of this host's roster at the last change of the entry.
    """

    entry: watching.UpstreamEntry
    cold_until: float
    changed_at: float
    version: int


class Roster:
    """Entries by upstream id; each change gets the next version.

    :param host_name: name of this host, set in entries that are announced to it.
    :param silence_timeout: seconds without an announcement after which an upstream that
        last announced itself to this host is marked silent.
    :param configured_services: returns the names of the services in the configuration
        in force; ``None`` if all services count as configured.
    """

    def __init__(
        self,
        *,
        host_name: str,
        silence_timeout: float,
        configured_services: abc.Callable[[], abc.Container[str]] | None = None,
    ) -> None:
        self.version = 0
        self.digest = 0
        self._holder = host_name
        self._silence = silence_timeout
        self._configured_services = configured_services
        self._held_by_id: collections.OrderedDict[str, RosterItem] = (
            collections.OrderedDict()
        )
        self._ids_by_service: dict[str, dict[str, None]] = {}
        self._id_by_address: dict[str, str] = {}
        self._heard_at_by_id: dict[str, float] = {}
        self._unconfirmed_ids: set[str] = set()
        self._last_check_at: float | None = None

    @property
    def items_by_id(self) -> abc.Mapping[str, RosterItem]:
        """Return all entries, including gone ones until they are evicted."""
        return self._held_by_id

    def items_of_service(self, service: str) -> list[RosterItem]:
        """Return the entries of a service's upstreams."""
        ids = self._ids_by_service.get(service, ())
        return [self._held_by_id[upstream_id] for upstream_id in ids]

    def apply_announcement(self, entry: watching.UpstreamEntry, now: float) -> bool:
        """Apply an announcement made to this host; return whether the roster changed.

        A renewal without changes gets no new version, so that only changes are sent
        to other hosts.
        """
        held = self._held_by_id.get(entry.id)
        known = None if held is None else held.entry
        if known is not None and entry.order < known.order:
            return False
        self._heard_at_by_id[entry.id] = now
        entry = entry.with_holder(self._holder)
        is_confirmed = entry.id not in self._unconfirmed_ids
        if known is not None and is_confirmed and self._is_unchanged(entry, now):
            # The sequence is stored without a new version: an older announcement
            # that arrives late must not win, but other hosts don't need renewals.
            assert held is not None
            renewed = entry.as_renewal_of(known)
            self._held_by_id[entry.id] = dataclasses.replace(held, entry=renewed)
            return False
        return self._put(entry.as_change(), now)

    def _is_unchanged(self, entry: watching.UpstreamEntry, now: float) -> bool:
        """Return whether an announcement adds nothing to what other hosts know.

        The end of a cold start at the announced time is no change: each host computes
        it, and upstreams that start together would all report it at the same time. A
        later end is one, as the upstream may have become cold again.
        """
        held = self._held_by_id[entry.id]
        cold_left_ms = max(0, round((held.cold_until - now) * 1000))
        if entry.cold_left_ms > cold_left_ms + MAX_COLD_DRIFT_MS:
            return False
        return held.entry.with_cold(cold_left_ms).has_same_state(entry)

    def merge(self, entry: watching.UpstreamEntry, now: float) -> bool:
        """Merge an entry from another host; return whether the roster changed."""
        held = self._held_by_id.get(entry.id)
        if held is not None and entry.order <= held.entry.order:
            return False
        return self._put(entry, now)

    def restore_entry(self, entry: watching.UpstreamEntry, now: float) -> None:
        """Restore an entry that was stored before a restart.

        It counts as announced a while ago, so that an upstream that left meanwhile, or
        that other hosts know to drain, does not stay ready for long. Its next
        announcement counts as a change, so that each control host learns which host
        it announces itself to.
        """
        if entry.id in self._held_by_id:
            return
        if self._put(entry.with_holder(self._holder), now):
            self._unconfirmed_ids.add(entry.id)
            self._heard_at_by_id[entry.id] = now - self._silence + RESTORED_TIMEOUT_S

    def ready_entries(self, now: float) -> tuple[watching.UpstreamEntry, ...]:
        """Return the entries of upstreams in stage ready."""
        return tuple(
            entry
            for entry in self.entries_since(0, now)
            if entry.stage is watching.Stage.READY
        )

    def entries_since(
        self, version: int, now: float
    ) -> tuple[watching.UpstreamEntry, ...]:
        """Return the entries that changed after ``version``."""
        changed = []
        for held in reversed(self._held_by_id.values()):
            if held.version <= version:
                break
            cold_left_ms = max(0, round((held.cold_until - now) * 1000))
            changed.append(held.entry.with_cold(cold_left_ms))
        changed.reverse()
        return tuple(changed)

    def mark_silent(self, now: float) -> list[watching.UpstreamEntry]:
        """Mark upstreams that stopped announcing themselves here; return their entries.

        Also calls :meth:`evict_gone`.

        A host that was suspended receives all announcements late. It would mark every
        upstream silent when it resumes, so it restarts all timeouts instead.
        """
        was_suspended = (
            self._last_check_at is not None
            and now - self._last_check_at > MAX_SILENCE_CHECK_GAP_S
        )
        self._last_check_at = now
        if was_suspended:
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
        self.evict_gone(now)
        return silent

    def _put(self, entry: watching.UpstreamEntry, now: float) -> bool:
        if entry.is_live and not self._claim_address(entry, now):
            return False
        self._store(entry, now)
        return True

    def _claim_address(self, entry: watching.UpstreamEntry, now: float) -> bool:
        """Assign an address to an upstream; return whether ``entry`` got it."""
        owner = self._held_by_id.get(self._id_by_address.get(entry.address, ""))
        is_other = owner is not None and owner.entry.id != entry.id
        if is_other and owner.entry.is_live and owner.entry.address == entry.address:
            if not self._may_take_over(entry, owner.entry):
                return False
            displaced = owner.entry.as_gone()
            if not self._is_configured(owner.entry.service):
                # Its service may be configured later, and it may still run.
                displaced = owner.entry.as_silent()
            self._store(displaced, now)
        self._id_by_address[entry.address] = entry.id
        return True

    def _may_take_over(
        self, entry: watching.UpstreamEntry, owner: watching.UpstreamEntry
    ) -> bool:
        """Return whether ``entry`` takes the address of a live upstream.

        Addresses are reused, and the later incarnation owns one. An announcement that
        was delayed by a partition may arrive after its sender died and another upstream
        got its address. An upstream of a service that is not configured gets no
        requests, so it waits until the owner of the address has fallen silent: it may
        be another program that reports an address which is not its own.
        """
        if not self._is_configured(entry.service):
            return False
        if not self._is_configured(owner.service):
            return True
        return owner.incarnation <= entry.incarnation

    def _is_configured(self, service: str) -> bool:
        return (
            self._configured_services is None or service in self._configured_services()
        )

    def _store(self, entry: watching.UpstreamEntry, now: float) -> None:
        self.version += 1
        held = self._held_by_id.get(entry.id)
        if held is not None:
            self.digest ^= _entry_digest(held.entry)
        self.digest ^= _entry_digest(entry)
        self._unconfirmed_ids.discard(entry.id)
        if held is not None and held.entry.service != entry.service:
            self._remove_from_service(held.entry)
        self._ids_by_service.setdefault(entry.service, {})[entry.id] = None
        self._held_by_id[entry.id] = RosterItem(
            entry=entry,
            cold_until=now + entry.cold_left_ms / 1000,
            changed_at=now,
            version=self.version,
        )
        self._held_by_id.move_to_end(entry.id)

    def evict_gone(self, now: float) -> None:
        """Evict upstreams that have been gone or silent for ``GONE_RETENTION_S``."""
        for upstream_id, held in list(self._held_by_id.items()):
            if now - held.changed_at < GONE_RETENTION_S:
                return
            if held.entry.is_live:
                continue
            del self._held_by_id[upstream_id]
            self._remove_from_service(held.entry)
            self.digest ^= _entry_digest(held.entry)
            if self._id_by_address.get(held.entry.address) == upstream_id:
                del self._id_by_address[held.entry.address]

    def _remove_from_service(self, entry: watching.UpstreamEntry) -> None:
        ids = self._ids_by_service[entry.service]
        del ids[entry.id]
        if not ids:
            del self._ids_by_service[entry.service]


def _entry_digest(entry: watching.UpstreamEntry) -> int:
    """Return the hash of an entry's identity and stage; 0 for one that is gone."""
    if entry.stage is watching.Stage.GONE:
        return 0
    identity = (
        f"{entry.id}\0{entry.incarnation}\0{entry.changed_sequence}\0{entry.stage}"
    )
    return xxhash.xxh64_intdigest(identity.encode())
