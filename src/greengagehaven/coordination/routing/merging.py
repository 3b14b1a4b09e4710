"""Merging the replies of several shards into one answer."""

import heapq
from collections import abc

RECORD_BYTES = 16
"""Size of a record in a reply's body."""


def greatest_records(bodies: abc.Iterable[bytes], count: int) -> bytes:
    """Return the ``count`` greatest records of all bodies, in descending order.

    Records are compared byte by byte; duplicates are kept. A trailing fragment shorter
    than a record is ignored.
    """
    records = (
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(heapq.nlargest(count, records))
