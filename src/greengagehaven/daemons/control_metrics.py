"""Metrics of a control host."""

import collections
import typing
from collections import abc

from greengagehaven.state import audit

if typing.TYPE_CHECKING:
    import prometheus_client

    from greengagehaven.daemons import control_host


PREFIX = "greengagehaven_control"


class ControlMetrics:
    """Collects the metrics of a control host.

    ``prometheus_client`` and its imports take 3 MB of memory, so it is imported
    only when the metrics are first collected.

    :param host: the control host.
    """

    def __init__(self, *, host: "control_host.ControlHost") -> None:
        self._host = host
        self._changes: collections.Counter[str] = collections.Counter()

    def count_change(self, record: audit.AuditRecord) -> None:
        """Count a committed change by its result code."""
        self._changes[record.code] += 1

    def collect(self) -> "abc.Iterator[prometheus_client.Metric]":
        """Yield every metric family; ``prometheus_client`` is imported here."""
        from prometheus_client import core

        change_family = core.CounterMetricFamily(
            f"{PREFIX}_changes",
            "Changes decided while this host was the leader, by result code",
            labels=("code",),
        )
        for code, count in self._changes.items():
            change_family.add_metric((code,), count)
        yield change_family
        rollout_family = core.GaugeMetricFamily(
            f"{PREFIX}_rollouts",
            "Services by the phase of their latest roll-out",
            labels=("phase",),
        )
        phases = collections.Counter(
            each.phase for each in self._host.state_machine.state.rollouts
        )
        for phase, count in sorted(phases.items()):
            rollout_family.add_metric((phase,), count)
        yield rollout_family
        for name, (help_text, value) in self._gauges().items():
            yield core.GaugeMetricFamily(f"{PREFIX}_{name}", help_text, value=value)

    def describe(self) -> "list[prometheus_client.Metric]":
        """Return no families, so that registration does not collect."""
        return []

    def _gauges(self) -> dict[str, tuple[str, float]]:
        host, raft = self._host, self._host.raft
        return {
            "leader": ("1 if this host is the leader", host.is_leader),
            "term": ("Current Raft term", raft.term if raft else 0),
            "commit_index": (
                "Index of the last entry known to be committed",
                raft.commit_index if raft else 0,
            ),
            "revision": (
                "Latest accepted revision of the configuration",
                host.state_machine.state.revision,
            ),
            "log_bytes": ("Size of the write-ahead log in bytes", host.log_bytes),
            "state_age_seconds": (
                "Seconds since the state was last known to be the newest",
                host.staleness,
            ),
            "storage_failed": (
                "1 if a disk failure halted the host",
                host.storage_error is not None,
            ),
        }
