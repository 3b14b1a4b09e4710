"""Probe targets: the successors of a host on a few pseudo-random rings.

Each host probes a few fixed targets, so that its connections stay open, and on
average has as many observers. SWIM's uniform choice would open a connection for
nearly every probe among hundreds of hosts. The rings together form an expander
graph with high probability (Suresh et al., "Stable and Consistent Membership at
Scale with Rapid", USENIX ATC 2018).
"""

import heapq
from collections import abc

import xxhash

RING_COUNT = 6
PARTNER_COUNT = 4


def targets_of(host_id: str, host_ids: abc.Collection[str]) -> list[str]:
    """Return the ids of the hosts that ``host_id`` probes, sorted and without itself.

    :param host_ids: ids of the live hosts of its zone.
    """
    others = [other for other in host_ids if other != host_id]
    if len(others) <= RING_COUNT:
        return sorted(others)
    targets = {_successor(host_id, others, ring) for ring in range(RING_COUNT)}
    return sorted(targets)


def partners_of(host_id: str, host_ids: abc.Collection[str]) -> list[str]:
    """Return the ids of the few regular contacts of ``host_id`` in another zone.

    They stay the same while they are alive, as opening new connections costs more
    than the messages that they carry.

    :param host_ids: ids of the live hosts of that zone.
    """
    if len(host_ids) <= PARTNER_COUNT:
        return sorted(host_ids)
    seed = xxhash.xxh32_intdigest(host_id.encode())

    def score(other: str) -> tuple[int, str]:
        return (xxhash.xxh64_intdigest(other.encode(), seed=seed), other)

    return sorted(heapq.nlargest(PARTNER_COUNT, host_ids, key=score))


def _successor(host_id: str, others: list[str], ring: int) -> str:
    own = _position(ring, host_id)
    positions = [(_position(ring, other), other) for other in others]
    after = [position for position in positions if position > (own, host_id)]
    return min(after or positions)[1]


def _position(ring: int, host_id: str) -> int:
    return xxhash.xxh64_intdigest(host_id.encode(), seed=ring)
