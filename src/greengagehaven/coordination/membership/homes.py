"""Which host keeps an upstream's lease: rendezvous hashing.

Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
1998: the host with the highest hash of (host, upstream) wins, so that a host
that leaves or joins moves only its own share.
"""

from collections import abc

import xxhash


def weight(host_id: str, upstream_id: str) -> int:
    """Return how strongly a host draws an upstream."""
    seed = xxhash.xxh32_intdigest(host_id.encode())
    return xxhash.xxh64_intdigest(upstream_id.encode(), seed=seed)


def home_of(upstream_id: str, host_ids: abc.Collection[str]) -> str:
    """Return the host that keeps the lease.

    :param host_ids: candidates, at least one.
    """
    return max(host_ids, key=lambda host_id: (weight(host_id, upstream_id), host_id))


class HomeIndex:
    """Homes of the upstreams of one zone, kept up step by step.

    Working out every home anew would cost hosts times upstreams with each
    host that restarts; here a host that joins costs one comparison for each
    upstream and one that leaves only its own upstreams.
    """

    def __init__(self) -> None:
        self._host_ids: set[str] = set()
        self._home_by_upstream_id: dict[str, str | None] = {}
        self._upstream_ids_by_home: dict[str | None, set[str]] = {}

    def home(self, upstream_id: str) -> str | None:
        """Return the home host of an upstream, ``None`` where there is none."""
        return self._home_by_upstream_id.get(upstream_id)

    def upstreams_of(self, host_id: str) -> abc.Set[str]:
        """Return the upstreams whose home a host is."""
        return self._upstream_ids_by_home.get(host_id, frozenset())

    def add_upstream(self, upstream_id: str) -> None:
        """Find the home of an upstream."""
        if upstream_id not in self._home_by_upstream_id:
            self._place(upstream_id)

    def remove_upstream(self, upstream_id: str) -> None:
        """Forget an upstream."""
        if upstream_id in self._home_by_upstream_id:
            self._unplace(upstream_id)

    def add_host(self, host_id: str) -> None:
        """Take in a host that joined; it draws its share."""
        if host_id in self._host_ids:
            return
        self._host_ids.add(host_id)
        for upstream_id, home in list(self._home_by_upstream_id.items()):
            if home is None or home_of(upstream_id, (home, host_id)) == host_id:
                self._unplace(upstream_id)
                self._put(upstream_id, host_id)

    def remove_host(self, host_id: str) -> None:
        """Take in a host that left; its share goes to the others."""
        self._host_ids.discard(host_id)
        for upstream_id in list(self.upstreams_of(host_id)):
            self._unplace(upstream_id)
            self._place(upstream_id)

    def _place(self, upstream_id: str) -> None:
        hosts = self._host_ids
        self._put(upstream_id, home_of(upstream_id, hosts) if hosts else None)

    def _put(self, upstream_id: str, host_id: str | None) -> None:
        self._home_by_upstream_id[upstream_id] = host_id
        self._upstream_ids_by_home.setdefault(host_id, set()).add(upstream_id)

    def _unplace(self, upstream_id: str) -> None:
        home = self._home_by_upstream_id.pop(upstream_id)
        self._upstream_ids_by_home[home].discard(upstream_id)
