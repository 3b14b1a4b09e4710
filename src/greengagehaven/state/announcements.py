"""Announcements by upstream id, held packed and unpacked on demand.

Unpacked, an announcement takes several times the memory of its packed record,
and a host that knows tens of thousands of upstreams works with few at a time.
"""

from collections import abc

from greengagehaven.protocol import membership, upstream

MAX_UNPACKED = 8192


class Announcements(abc.Mapping[str, upstream.Announcement]):
    """Read-only view of records as announcements.

    The most recently unpacked ones are kept; :meth:`forget` has to be called
    where a record changes.

    :param records_by_id: the live records.
    """

    def __init__(
        self, *, records_by_id: abc.Mapping[str, membership.UpstreamRecord]
    ) -> None:
        self._records_by_id = records_by_id
        self._unpacked_by_id: dict[str, upstream.Announcement] = {}

    def __getitem__(self, upstream_id: str) -> upstream.Announcement:
        unpacked = self._unpacked_by_id.get(upstream_id)
        if unpacked is None:
            unpacked = membership.unpack(self._records_by_id[upstream_id])
            if len(self._unpacked_by_id) >= MAX_UNPACKED:
                del self._unpacked_by_id[next(iter(self._unpacked_by_id))]
            self._unpacked_by_id[upstream_id] = unpacked
        return unpacked

    def __contains__(self, upstream_id: object) -> bool:
        return upstream_id in self._records_by_id

    def __iter__(self) -> abc.Iterator[str]:
        return iter(self._records_by_id)

    def __len__(self) -> int:
        return len(self._records_by_id)

    def keys(self) -> abc.KeysView[str]:
        """Return the ids, without unpacking anything."""
        return self._records_by_id.keys()

    def forget(self, upstream_id: str) -> None:
        """Drop what was unpacked of a record that changed."""
        self._unpacked_by_id.pop(upstream_id, None)
