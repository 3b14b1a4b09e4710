"""Announcements by upstream id, stored packed and decoded on demand.

A decoded announcement takes several times the memory of its packed record, and a
host that knows tens of thousands of upstreams uses few of them at a time.
"""

from collections import abc

from greengagehaven.protocol import membership, upstream

MAX_CACHED = 8192


class Announcements(abc.Mapping[str, upstream.Announcement]):
    """Read-only view of packed records as announcements.

    The most recently decoded announcements are cached; call :meth:`forget` when a
    record changes.

    :param records_by_id: packed records of the live upstreams.
    """

    def __init__(
        self, *, records_by_id: abc.Mapping[str, membership.UpstreamRecord]
    ) -> None:
        self._records_by_id = records_by_id
        self._cached_by_id: dict[str, upstream.Announcement] = {}

    def __getitem__(self, upstream_id: str) -> upstream.Announcement:
        announcement = self._cached_by_id.get(upstream_id)
        if announcement is None:
            announcement = membership.decode_announcement(
                self._records_by_id[upstream_id]
            )
            if len(self._cached_by_id) >= MAX_CACHED:
                del self._cached_by_id[next(iter(self._cached_by_id))]
            self._cached_by_id[upstream_id] = announcement
        return announcement

    def __contains__(self, upstream_id: object) -> bool:
        return upstream_id in self._records_by_id

    def __iter__(self) -> abc.Iterator[str]:
        return iter(self._records_by_id)

    def __len__(self) -> int:
        return len(self._records_by_id)

    def keys(self) -> abc.KeysView[str]:
        """Return the upstream ids without decoding any record."""
        return self._records_by_id.keys()

    def forget(self, upstream_id: str) -> None:
        """Drop the cached announcement of a record that changed."""
        self._cached_by_id.pop(upstream_id, None)
