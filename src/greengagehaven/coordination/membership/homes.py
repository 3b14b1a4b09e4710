"""Assignment of upstreams to home hosts by rendezvous hashing.

The home host of an upstream tracks its lease. As in Thaler and Ravishankar,
"Using Name-Based Mappings to Increase Hit Rates", 1998, it is the host with the
highest hash of (host, upstream), so that a host that leaves or joins changes
only its own upstreams.
"""

from collections import abc

import xxhash


def weight(host_id: str, upstream_id: str) -> int:
    """Return the rendezvous weight of a host for an upstream."""
    seed = xxhash.xxh32_intdigest(host_id.encode())
    return xxhash.xxh64_intdigest(upstream_id.encode(), seed=seed)


def home_of(upstream_id: str, host_ids: abc.Collection[str]) -> str:
    """Return the candidate with the highest weight for an upstream.

    :param host_ids: candidates, at least one.
    """
    return max(host_ids, key=lambda host_id: (weight(host_id, upstream_id), host_id))


class HomeIndex:
    """Incrementally maintained home hosts of one zone's upstreams.

    Recomputing every home would cost hosts times upstreams each time a host
    restarts. Here a host that joins costs one comparison per upstream, and a host
    that leaves costs only its own upstreams.
    """

    def __init__(self) -> None:
        self._host_ids: set[str] = set()
        self._home_by_upstream_id: dict[str, str | None] = {}
        self._upstream_ids_by_home: dict[str | None, set[str]] = {}

    def home_host_id(self, upstream_id: str) -> str | None:
        """Return the home host of an upstream, ``None`` if it has none."""
        return self._home_by_upstream_id.get(upstream_id)

    def upstreams_of(self, host_id: str) -> abc.Set[str]:
        """Return the ids of the upstreams whose home is ``host_id``."""
        return self._upstream_ids_by_home.get(host_id, frozenset())

    def add_upstream(self, upstream_id: str) -> None:
        """Assign a home to an upstream unless it is already indexed."""
        if upstream_id not in self._home_by_upstream_id:
            self._assign(upstream_id)

    def remove_upstream(self, upstream_id: str) -> None:
        """Remove an upstream if it is indexed."""
        if upstream_id in self._home_by_upstream_id:
            self._unassign(upstream_id)

    def add_host(self, host_id: str) -> None:
        """Add a host and reassign to it the upstreams whose home it now is."""
        if host_id in self._host_ids:
            return
        self._host_ids.add(host_id)
        for upstream_id, home in list(self._home_by_upstream_id.items()):
            if home is None or home_of(upstream_id, (home, host_id)) == host_id:
                self._unassign(upstream_id)
                self._set_home(upstream_id, host_id)

    def remove_host(self, host_id: str) -> None:
        """Remove a host and reassign its upstreams."""
        self._host_ids.discard(host_id)
        for upstream_id in list(self.upstreams_of(host_id)):
            self._unassign(upstream_id)
            self._assign(upstream_id)

    def _assign(self, upstream_id: str) -> None:
        hosts = self._host_ids
        self._set_home(upstream_id, home_of(upstream_id, hosts) if hosts else None)

    def _set_home(self, upstream_id: str, host_id: str | None) -> None:
        self._home_by_upstream_id[upstream_id] = host_id
        self._upstream_ids_by_home.setdefault(host_id, set()).add(upstream_id)

    def _unassign(self, upstream_id: str) -> None:
        home = self._home_by_upstream_id.pop(upstream_id)
        self._upstream_ids_by_home[home].discard(upstream_id)
