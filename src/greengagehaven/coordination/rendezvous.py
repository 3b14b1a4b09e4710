"""Rendezvous hashing: every host computes the same order without a message.

Highest random weight (Thaler and Ravishankar 1998): when a host comes or goes,
only the keys that it had change hands.
"""

from collections import abc

import xxhash


def rank(key: str, names: abc.Iterable[str]) -> list[str]:
    """Return ``names`` in the order of their weight for ``key``.

    :param key: what is to be placed, for example the id of an upstream.
    :param names: candidates, for example the ids of hosts.
    """
    return sorted(names, key=lambda name: (_weight(key, name), name), reverse=True)


def pick(key: str, names: abc.Iterable[str]) -> str:
    """Return the first of :func:`rank`; ``names`` is not empty."""
    return max(names, key=lambda name: (_weight(key, name), name))


def _weight(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


def rank_groups(
    key: str, ids_by_group: abc.Mapping[str, abc.Iterable[str]], count: int
) -> dict[str, list[str]]:
    """Return the first ids of each group, in the order of the groups' names.

    :param count: ids of a group at most.
    """
    return {
        group: rank(key, ids)[:count] for group, ids in sorted(ids_by_group.items())
    }
