"""Upstream directory: the latest announcement of each live upstream."""

import dataclasses
import typing
from collections import abc

from greengagehaven.protocol import membership, upstream
from greengagehaven.state import announcements


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tombstone:
    """Mark of an upstream that left, so that a late update can't add it again.

    :param version: (incarnation, sequence) up to which announcements are ignored.
    """

    id: str
    version: tuple[int, int]


class DirectoryView(typing.Protocol):
    """Read-only interface of the directory for the query path."""

    @property
    def upstreams_by_id(self) -> abc.Mapping[str, upstream.Announcement]:
        """Return the announcements of live upstreams, draining ones included."""

    def upstream_ids_of_shard(
        self, shard_ref: upstream.ShardRef
    ) -> abc.Collection[str]:
        """Return ids of live upstreams that hold any version of a shard."""

    def shards_of_service(self, service: str) -> abc.Collection[upstream.ShardRef]:
        """Return the shards of a service that at least one live upstream holds."""


class Directory:
    """Live upstreams by id, indexed by shard and service.

    Announcements are ordered by (incarnation, sequence): an older announcement has
    no effect, and an upstream that left stays removed.
    """

    def __init__(self) -> None:
        self._records_by_id: dict[str, membership.UpstreamRecord] = {}
        self._announcements = announcements.Announcements(
            records_by_id=self._records_by_id
        )
        self._tombstones_by_id: dict[str, Tombstone] = {}
        self._upstream_ids_by_shard: dict[upstream.ShardRef, set[str]] = {}
        self._shards_by_service: dict[str, set[upstream.ShardRef]] = {}

    @property
    def upstreams_by_id(self) -> abc.Mapping[str, upstream.Announcement]:
        """Return the announcements of live upstreams, draining ones included."""
        return self._announcements

    def upstream_ids_of_shard(
        self, shard_ref: upstream.ShardRef
    ) -> abc.Collection[str]:
        """Return ids of live upstreams that hold any version of a shard."""
        return self._upstream_ids_by_shard.get(shard_ref, frozenset())

    def shards_of_service(self, service: str) -> abc.Collection[upstream.ShardRef]:
        """Return the shards of a service that at least one live upstream holds."""
        return self._shards_by_service.get(service, frozenset())

    def apply_announcement(self, announcement: upstream.Announcement) -> bool:
        """Apply an announcement and return whether it changed the directory.

        :param announcement: received from the upstream itself or from a peer.
        """
        return self.apply_record(membership.record_of(announcement))

    def apply_record(self, record: membership.UpstreamRecord) -> bool:
        """Apply a packed announcement and return whether it changed the directory.

        :param record: record of a live upstream; stored without being copied.
        """
        known = self._known_version(record.id)
        if known is not None and (record.incarnation, record.sequence) <= known:
            return False
        self._remove(record.id)
        self._tombstones_by_id.pop(record.id, None)
        self._records_by_id[record.id] = record
        for hosted in membership.decode_announcement(record).shards:
            holders = self._upstream_ids_by_shard.setdefault(hosted.ref, set())
            holders.add(record.id)
            self._shards_by_service.setdefault(hosted.service, set()).add(hosted.ref)
        return True

    def withdraw(self, upstream_id: str, version: tuple[int, int]) -> bool:
        """Remove an upstream that left or whose lease expired; leave a tombstone.

        :param upstream_id: id of the upstream.
        :param version: (incarnation, sequence) up to which it is removed.
        :return: whether the upstream was live.
        """
        known = self._known_version(upstream_id)
        if known is not None and version < known:
            return False
        was_live = self._remove(upstream_id)
        self._tombstones_by_id[upstream_id] = Tombstone(id=upstream_id, version=version)
        return was_live

    def remove_without_tombstone(self, upstream_id: str) -> bool:
        """Remove an upstream without a tombstone, as no host refreshes it any more.

        The same announcement may add it again.

        :return: whether the upstream was live.
        """
        return self._remove(upstream_id)

    def _known_version(self, upstream_id: str) -> tuple[int, int] | None:
        live = self._records_by_id.get(upstream_id)
        if live is not None:
            return (live.incarnation, live.sequence)
        tombstone = self._tombstones_by_id.get(upstream_id)
        return None if tombstone is None else tombstone.version

    def _remove(self, upstream_id: str) -> bool:
        record = self._records_by_id.pop(upstream_id, None)
        if record is None:
            return False
        self._announcements.forget(upstream_id)
        for hosted in membership.decode_announcement(record).shards:
            self._unindex(hosted.ref, upstream_id)
        return True

    def _unindex(self, shard_ref: upstream.ShardRef, upstream_id: str) -> None:
        holders = self._upstream_ids_by_shard.get(shard_ref)
        if holders is None:
            return
        holders.discard(upstream_id)
        if holders:
            return
        del self._upstream_ids_by_shard[shard_ref]
        shards = self._shards_by_service[shard_ref.service]
        shards.discard(shard_ref)
        if not shards:
            del self._shards_by_service[shard_ref.service]
