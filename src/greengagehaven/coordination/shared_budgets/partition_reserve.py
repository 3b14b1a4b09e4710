"""The parts of teams' limits that are kept for hosts behind a network partition.

Neither side of a partition can know what the other admits. Each side keeps to the part
of the limit that corresponds to its part of the demand when all hosts were last heard,
so that both sides together stay within the limit whatever they are offered.
"""

import collections
from collections import abc

from greengagehaven.coordination.shared_budgets import silent_demand
from greengagehaven.protocol import usage_caps

PRIOR_REQUESTS = 10.0
"""Requests that are taken to be spread evenly over all hosts, in addition to those that
were reported: the demand of a small team says little about where the next ones arrive.
"""


class PartitionReserve:
    """The hosts behind a partition, and their parts of the limits.

    :param heard_at: when the last of these hosts was heard, monotonic seconds.
    :param before_by_team: demand at all hosts at that time.
    :param usages_by_host: usage at the silent hosts, as last reported.
    :param host_count: number of all hosts.
    """

    def __init__(
        self,
        *,
        heard_at: float,
        before_by_team: abc.Mapping[str, silent_demand.Demand],
        usages_by_host: abc.Mapping[str, tuple[usage_caps.TeamUsage, ...]],
        host_count: int,
    ) -> None:
        self.heard_at = heard_at
        self.before_by_team = before_by_team
        self._usages_by_host = dict(usages_by_host)
        self._host_count = host_count
        self._silent_by_team: collections.Counter[str] = collections.Counter()
        for usage in (each for usages in usages_by_host.values() for each in usages):
            self._silent_by_team[usage.team] += usage.offered

    def remove(self, host_id: str) -> None:
        """Keep nothing for a host that is heard again."""
        for usage in self._usages_by_host.pop(host_id, ()):
            self._silent_by_team[usage.team] -= usage.offered

    def share_of(self, team: str) -> float:
        """Return the share of a team's limit that is kept for the silent hosts."""
        silent = self._silent_by_team[team]
        before = self.before_by_team.get(team, silent_demand.Demand()).offered
        silent_host_share = len(self._usages_by_host) / self._host_count
        return (silent + PRIOR_REQUESTS * silent_host_share) / (
            max(before, silent) + PRIOR_REQUESTS
        )
