"""How long messages take in a replay, and where nothing gets through."""

import itertools
from collections import abc


class Links:
    """Delays between availability zones and between hosts.

    :param hop: seconds one way between zones; half of it inside a zone.
    """

    def __init__(self, *, hop: float) -> None:
        self._hop = hop
        self._groups: tuple[tuple[str, ...], ...] = ()
        self._one_way = False
        self._cut_ids: frozenset[str] = frozenset()
        self.zones_by_id: dict[str, str] = {}

    def partition(self, groups: tuple[tuple[str, ...], ...], *, one_way: bool) -> None:
        """Separate groups of zones; no group heals."""
        self._groups = groups
        self._one_way = one_way

    def cut(self, host_ids: abc.Iterable[str]) -> None:
        """Cut off just these hosts from every other host."""
        self._cut_ids = frozenset(host_ids)

    def zone_delay(self, source: str, target: str) -> float | None:
        """Return seconds for one way between zones, ``None`` where cut off."""
        if source == target:
            return self._hop / 2
        if not self._groups:
            return self._hop
        if any(source in group and target in group for group in self._groups):
            return self._hop
        if self._one_way and source in self._groups[0]:
            return self._hop
        return None

    def delay(self, source_id: str, target_id: str) -> float | None:
        """Return seconds for one way between hosts, ``None`` where cut off."""
        if source_id in self._cut_ids or target_id in self._cut_ids:
            return None
        source, target = self.zones_by_id[source_id], self.zones_by_id[target_id]
        return self.zone_delay(source, target)

    def path_delay(self, host_ids: abc.Iterable[str]) -> float | None:
        """Return seconds along a path of hosts, ``None`` where it is cut."""
        total = 0.0
        for source, target in itertools.pairwise(host_ids):
            delay = self.delay(source, target)
            if delay is None:
                return None
            total += delay
        return total

    def connects(self, source: str, target: str) -> bool:
        """Tell whether a connection between zones opens: it needs both ways."""
        there, back = self.zone_delay(source, target), self.zone_delay(target, source)
        return there is not None and back is not None
