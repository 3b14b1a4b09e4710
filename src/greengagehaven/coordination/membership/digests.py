"""Digests of the live records of each zone, for anti-entropy.

A digest is the XOR of the hashes of its items, so that a change costs one hash,
regardless of the number of items.
"""

import xxhash

BUCKETS = 128
_EMPTY = (0,) * BUCKETS


def bucket_of(key: str) -> int:
    """Return the bucket number of a host id or upstream id."""
    return xxhash.xxh32_intdigest(key.encode()) % BUCKETS


class ZoneDigests:
    """Maintains the bucket digests and the total digest of each zone."""

    def __init__(self) -> None:
        self._buckets_by_zone: dict[str, list[int]] = {}
        self._digests_by_zone: dict[str, int] = {}

    def toggle(self, zone: str, key: str, token: str) -> None:
        """Add an item, or remove it if it is present.

        :param key: id of the host or upstream.
        :param token: the part of its record that two hosts must agree on.
        """
        digest = xxhash.xxh64_intdigest(token.encode())
        buckets = self._buckets_by_zone.setdefault(zone, [0] * BUCKETS)
        buckets[bucket_of(key)] ^= digest
        self._digests_by_zone[zone] = self._digests_by_zone.get(zone, 0) ^ digest

    def of_zone(self, zone: str) -> int:
        """Return the digest of a whole zone, 0 if nothing is known of it."""
        return self._digests_by_zone.get(zone, 0)

    def buckets_of_zone(self, zone: str) -> tuple[int, ...]:
        """Return the digest of each bucket of a zone."""
        buckets = self._buckets_by_zone.get(zone)
        return _EMPTY if buckets is None else tuple(buckets)

    @property
    def zones(self) -> tuple[str, ...]:
        """Return every zone that ever had a live record here."""
        return tuple(self._digests_by_zone)
