"""Rendezvous hashing: all hosts compute the same order without communicating.

Highest random weight hashing (Thaler and Ravishankar 1998): when a host joins or
leaves, only the keys assigned to that host move.
"""

from collections import abc

import xxhash


def rank(key: str, names: abc.Iterable[str]) -> list[str]:
    """Return ``names`` ordered by their weight for ``key``, highest first.

    :param key: what is assigned, for example the id of an upstream.
    :param names: candidates, for example the ids of hosts.
    """
    return sorted(names, key=lambda name: (_weight(key, name), name), reverse=True)


def pick(key: str, names: abc.Iterable[str]) -> str:
    """Return the first name of :func:`rank`; ``names`` must not be empty."""
    return max(names, key=lambda name: (_weight(key, name), name))


def _weight(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


def rank_groups(
    key: str, ids_by_group: abc.Mapping[str, abc.Iterable[str]], count: int
) -> dict[str, list[str]]:
    """Return the first ids of each group for ``key``, with the groups sorted by name.

    :param count: maximum number of ids per group.
    """
    return {
        group: rank(key, ids)[:count] for group, ids in sorted(ids_by_group.items())
    }
