"""Who probes whom: the successors of a host on a few random rings.

Every host has the same number of observers, and each keeps to a few targets,
so that its connections stay open; SWIM's uniform choice would open a
connection for nearly every probe among hundreds of hosts. The rings together
are an expander graph with high probability (Suresh et al., "Stable and
Consistent Membership at Scale with Rapid", USENIX ATC 2018).
"""

import heapq
from collections import abc

import xxhash

RINGS = 6
PARTNERS = 4


def targets_of(host_id: str, host_ids: abc.Collection[str]) -> list[str]:
    """Return the hosts that ``host_id`` probes, without itself.

    :param host_ids: the live hosts of its zone.
    """
    others = [other for other in host_ids if other != host_id]
    if len(others) <= RINGS:
        return sorted(others)
    targets = {_successor(host_id, others, ring) for ring in range(RINGS)}
    return sorted(targets)


def partners_of(host_id: str, host_ids: abc.Collection[str]) -> list[str]:
    """Return the few hosts of another zone that ``host_id`` keeps in touch with.

    They stay the same while they live, as connections to ever new hosts cost
    more than what they carry.

    :param host_ids: the live hosts of that zone.
    """
    if len(host_ids) <= PARTNERS:
        return sorted(host_ids)
    seed = xxhash.xxh32_intdigest(host_id.encode())

    def draw(other: str) -> tuple[int, str]:
        return (xxhash.xxh64_intdigest(other.encode(), seed=seed), other)

    return sorted(heapq.nlargest(PARTNERS, host_ids, key=draw))


def _successor(host_id: str, others: list[str], ring: int) -> str:
    own = _place(ring, host_id)
    places = [(_place(ring, other), other) for other in others]
    after = [place for place in places if place > (own, host_id)]
    return min(after or places)[1]


def _place(ring: int, host_id: str) -> int:
    return xxhash.xxh64_intdigest(host_id.encode(), seed=ring)
