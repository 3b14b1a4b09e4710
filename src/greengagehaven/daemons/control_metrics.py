"""Metrics of a control host."""

import collections
import typing
from collections import abc

from greengagehaven.state import audit

if typing.TYPE_CHECKING:
    import prometheus_client

    from greengagehaven.daemons import control

PREFIX = "greengagehaven_control"


class ControlMetrics:
    """Collector of what a control host is, and of the changes it decided.

    Prometheus' library takes 3 MB with what it imports, which a host that nobody
    asks for its metrics does not load.

    :param host: the control host.
    """

    def __init__(self, *, host: "control.ControlHost") -> None:
        self._host = host
        self._changes: collections.Counter[str] = collections.Counter()

    def count_change(self, record: audit.AuditRecord) -> None:
        """Count one decided change."""
        self._changes[record.code] += 1

    def collect(self) -> "abc.Iterator[prometheus_client.Metric]":
        """Yield every family; the library is loaded here."""
        from prometheus_client import core

        family = core.CounterMetricFamily(
            f"{PREFIX}_changes",
            "Changes decided under this host's lead, by result",
            labels=("code",),
        )
        for code, count in self._changes.items():
            family.add_metric((code,), count)
        yield family
        running = core.GaugeMetricFamily(
            f"{PREFIX}_rollouts",
            "Services by the phase of their last roll-out",
            labels=("phase",),
        )
        phases = collections.Counter(
            each.phase for each in self._host.machine.state.rollouts
        )
        for phase, count in sorted(phases.items()):
            running.add_metric((phase,), count)
        yield running
        for name, (text, value) in self._gauges().items():
            yield core.GaugeMetricFamily(f"{PREFIX}_{name}", text, value=value)

    def describe(self) -> "list[prometheus_client.Metric]":
        """Return nothing, so that registering does not collect."""
        return []

    def _gauges(self) -> dict[str, tuple[str, float]]:
        host, raft = self._host, self._host.raft
        return {
            "leader": ("1 on the leader", host.is_leader),
            "term": ("Term of the log", raft.term if raft else 0),
            "commit_index": (
                "Last entry known to be committed",
                raft.commit_index if raft else 0,
            ),
            "revision": ("Revision accepted", host.machine.state.revision),
            "log_bytes": ("Size of the write-ahead log", host.log_bytes),
            "state_age_seconds": (
                "Time since the state is known to have been the newest",
                host.age,
            ),
            "storage_failed": (
                "1 where the disk failed and the host halted",
                host.failure is not None,
            ),
        }
