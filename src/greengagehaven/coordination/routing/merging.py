"""Answers of several shards made into one."""

import heapq
from collections import abc

RECORD_BYTES = 16


def greatest_records(bodies: abc.Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of all bodies, the greatest first.

    Records are compared byte by byte; equal ones all count. A remainder that is
    shorter than a record is none.
    """
    records = (
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(heapq.nlargest(count, records))
