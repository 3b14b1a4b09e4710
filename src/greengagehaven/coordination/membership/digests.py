"""Digests of everything live in a zone, for anti-entropy.

A digest is the exclusive or of the hashes of what it covers, so that one
change costs one hash, whatever the size.
"""

import xxhash

BUCKETS = 128
_EMPTY = (0,) * BUCKETS


def bucket_of(key: str) -> int:
    """Return the number of the bucket that a host or upstream falls in."""
    return xxhash.xxh32_intdigest(key.encode()) % BUCKETS


class ZoneDigests:
    """Bucket digests by zone."""

    def __init__(self) -> None:
        self._buckets_by_zone: dict[str, list[int]] = {}
        self._digests_by_zone: dict[str, int] = {}

    def toggle(self, zone: str, key: str, token: str) -> None:
        """Put an item in, or take it out if it is in.

        :param key: id of the host or upstream.
        :param token: all that two hosts have to agree on about it.
        """
        digest = xxhash.xxh64_intdigest(token.encode())
        buckets = self._buckets_by_zone.setdefault(zone, [0] * BUCKETS)
        buckets[bucket_of(key)] ^= digest
        self._digests_by_zone[zone] = self._digests_by_zone.get(zone, 0) ^ digest

    def of_zone(self, zone: str) -> int:
        """Return the digest of a whole zone, 0 where nothing is known."""
        return self._digests_by_zone.get(zone, 0)

    def buckets_of_zone(self, zone: str) -> tuple[int, ...]:
        """Return the digest of each bucket of a zone."""
        buckets = self._buckets_by_zone.get(zone)
        return _EMPTY if buckets is None else tuple(buckets)

    @property
    def zones(self) -> tuple[str, ...]:
        """Return every zone of which something was ever known."""
        return tuple(self._digests_by_zone)
