"""Simulated network links: message delays, partitions and isolated hosts."""

import itertools
from collections import abc


class Links:
    """Delays between availability zones and between hosts.

    :param hop: one-way delay between zones in seconds; half of it within a zone.
    """

    def __init__(self, *, hop: float) -> None:
        self._hop = hop
        self._groups: tuple[tuple[str, ...], ...] = ()
        self._one_way = False
        self._isolated_ids: frozenset[str] = frozenset()
        self.zones_by_id: dict[str, str] = {}

    def partition(self, groups: tuple[tuple[str, ...], ...], *, one_way: bool) -> None:
        """Partition the network into groups of zones; no groups end the partition.

        :param one_way: messages from zones of the first group still get through.
        """
        self._groups = groups
        self._one_way = one_way

    def isolate(self, host_ids: abc.Iterable[str]) -> None:
        """Isolate exactly these hosts from every other host."""
        self._isolated_ids = frozenset(host_ids)

    def zone_delay(self, source: str, target: str) -> float | None:
        """Return the one-way delay between zones in seconds, ``None`` if cut off."""
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
        """Return the one-way delay between hosts in seconds, ``None`` if cut off."""
        if source_id in self._isolated_ids or target_id in self._isolated_ids:
            return None
        source, target = self.zones_by_id[source_id], self.zones_by_id[target_id]
        return self.zone_delay(source, target)

    def path_delay(self, host_ids: abc.Iterable[str]) -> float | None:
        """Return the delay along a path of hosts in seconds, ``None`` if cut off."""
        total = 0.0
        for source, target in itertools.pairwise(host_ids):
            delay = self.delay(source, target)
            if delay is None:
                return None
            total += delay
        return total

    def connects(self, source: str, target: str) -> bool:
        """Return whether a connection can be opened, which needs both directions."""
        request_delay, reply_delay = (
            self.zone_delay(source, target),
            self.zone_delay(target, source),
        )
        return request_delay is not None and reply_delay is not None
