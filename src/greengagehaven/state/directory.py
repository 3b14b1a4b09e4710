"""The upstream directory: what every live upstream last said of itself."""

import dataclasses
import typing
from collections import abc

from greengagehaven.protocol import upstream


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
        self._upstreams_by_id: dict[str, upstream.Announcement] = {}
        self._withdrawals_by_id: dict[str, Withdrawal] = {}
        self._upstream_ids_by_shard: dict[upstream.ShardRef, set[str]] = {}
        self._shards_by_service: dict[str, set[upstream.ShardRef]] = {}

    @property
    def upstreams_by_id(self) -> abc.Mapping[str, upstream.Announcement]:
        """Return the live upstreams, draining ones included."""
        return self._upstreams_by_id

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
        known = self._known_version(announcement.id)
        if known is not None and announcement.version <= known:
            return False
        self._remove(announcement.id)
        self._withdrawals_by_id.pop(announcement.id, None)
        self._upstreams_by_id[announcement.id] = announcement
        for hosted in announcement.shards:
            holders = self._upstream_ids_by_shard.setdefault(hosted.ref, set())
            holders.add(announcement.id)
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
        live = self._upstreams_by_id.get(upstream_id)
        if live is not None:
            return live.version
        withdrawn = self._withdrawals_by_id.get(upstream_id)
        return None if withdrawn is None else withdrawn.version

    def _remove(self, upstream_id: str) -> bool:
        announcement = self._upstreams_by_id.pop(upstream_id, None)
        if announcement is None:
            return False
        for hosted in announcement.shards:
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
