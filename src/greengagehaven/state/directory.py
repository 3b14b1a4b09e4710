"""The upstream directory: what every live upstream last said of itself."""

import dataclasses
import typing
from collections import abc

from greengagehaven.protocol import membership, upstream
from greengagehaven.state import announcements


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Withdrawal:
    """Mark of an upstream that left, so that late news cannot revive it."""

    id: str
    version: tuple[int, int]


class DirectoryView(typing.Protocol):
    """What the query path reads of the directory."""

    @property
    def upstreams_by_id(self) -> abc.Mapping[str, upstream.Announcement]:
        """Return the live upstreams, draining ones included."""

    def hosts_of(self, shard_ref: upstream.ShardRef) -> abc.Collection[str]:
        """Return ids of live upstreams that hold a shard, any version of it."""

    def shards_of(self, service: str) -> abc.Collection[upstream.ShardRef]:
        """Return every shard of a service that any live upstream holds."""


class Directory:
    """Live upstreams by id, indexed by shard and service.

    Entries are ordered by (incarnation, sequence): an older announcement
    changes nothing, and a withdrawn one stays withdrawn.
    """

    def __init__(self) -> None:
        self._records_by_id: dict[str, membership.UpstreamRecord] = {}
        self._announcements = announcements.Announcements(
            records_by_id=self._records_by_id
        )
        self._withdrawals_by_id: dict[str, Withdrawal] = {}
        self._upstream_ids_by_shard: dict[upstream.ShardRef, set[str]] = {}
        self._shards_by_service: dict[str, set[upstream.ShardRef]] = {}

    @property
    def upstreams_by_id(self) -> abc.Mapping[str, upstream.Announcement]:
        """Return the live upstreams, draining ones included."""
        return self._announcements

    def hosts_of(self, shard_ref: upstream.ShardRef) -> abc.Collection[str]:
        """Return ids of live upstreams that hold a shard, any version of it."""
        return self._upstream_ids_by_shard.get(shard_ref, frozenset())

    def shards_of(self, service: str) -> abc.Collection[upstream.ShardRef]:
        """Return every shard of a service that any live upstream holds."""
        return self._shards_by_service.get(service, frozenset())

    def put(self, announcement: upstream.Announcement) -> bool:
        """Take an announcement; return whether it is news.

        :param announcement: what the upstream said, from it or from a peer.
        """
        return self.put_record(membership.record_of(announcement))

    def put_record(self, record: membership.UpstreamRecord) -> bool:
        """Take a live record, which is held as it is; return whether it is news.

        :param record: what an upstream said, packed.
        """
        known = self._known_version(record.id)
        if known is not None and (record.incarnation, record.sequence) <= known:
            return False
        self._remove(record.id)
        self._withdrawals_by_id.pop(record.id, None)
        self._records_by_id[record.id] = record
        for hosted in membership.unpack(record).shards:
            holders = self._upstream_ids_by_shard.setdefault(hosted.ref, set())
            holders.add(record.id)
            self._shards_by_service.setdefault(hosted.service, set()).add(hosted.ref)
        return True

    def withdraw(self, upstream_id: str, version: tuple[int, int]) -> bool:
        """Take out an upstream that left or whose lease ended.

        :param upstream_id: the upstream.
        :param version: (incarnation, sequence) up to which it is gone.
        :return: whether it is news.
        """
        known = self._known_version(upstream_id)
        if known is not None and version < known:
            return False
        was_live = self._remove(upstream_id)
        self._withdrawals_by_id[upstream_id] = Withdrawal(
            id=upstream_id, version=version
        )
        return was_live

    def remove(self, upstream_id: str) -> bool:
        """Take out an upstream that nobody vouches for; it may come back as it was.

        :return: whether it was there.
        """
        return self._remove(upstream_id)

    def _known_version(self, upstream_id: str) -> tuple[int, int] | None:
        live = self._records_by_id.get(upstream_id)
        if live is not None:
            return (live.incarnation, live.sequence)
        withdrawn = self._withdrawals_by_id.get(upstream_id)
        return None if withdrawn is None else withdrawn.version

    def _remove(self, upstream_id: str) -> bool:
        record = self._records_by_id.pop(upstream_id, None)
        if record is None:
            return False
        self._announcements.forget(upstream_id)
        for hosted in membership.unpack(record).shards:
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
