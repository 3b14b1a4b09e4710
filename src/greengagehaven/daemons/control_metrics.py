"""Metrics of a control host."""

import typing

import prometheus_client

from greengagehaven.state import audit

if typing.TYPE_CHECKING:
    from greengagehaven.daemons import control


class ControlMetrics:
    """Gauges that read a control host, and a counter of changes.

    :param host: the control host.
    :param registry: where they are registered, ``None`` for nowhere.
    """

    def __init__(
        self,
        *,
        host: "control.ControlHost",
        registry: prometheus_client.CollectorRegistry | None,
    ) -> None:
        self._changes = prometheus_client.Counter(
            "greengagehaven_control_changes",
            "Changes decided under this host's lead, by result",
            ["code"],
            registry=registry,
        )
        if registry is not None:
            _add_gauges(host, registry)

    def count_change(self, record: audit.AuditRecord) -> None:
        """Count one decided change."""
        self._changes.labels(code=record.code).inc()


def _add_gauges(
    host: "control.ControlHost", registry: prometheus_client.CollectorRegistry
) -> None:
    gauges: dict[str, tuple[str, typing.Callable[[], float]]] = {
        "leader": ("1 on the leader", lambda: host.is_leader),
        "term": ("Term of the log", lambda: host.raft.term if host.raft else 0),
        "commit_index": (
            "Last entry known to be committed",
            lambda: host.raft.commit_index if host.raft else 0,
        ),
        "revision": ("Revision accepted", lambda: host.machine.state.revision),
        "log_bytes": ("Size of the write-ahead log", lambda: host.log_bytes),
        "state_age_seconds": (
            "Time since the state is known to have been the newest",
            lambda: host.age,
        ),
        "storage_failed": (
            "1 where the disk failed and the host halted",
            lambda: host.failure is not None,
        ),
    }
    for name, (text, read) in gauges.items():
        gauge = prometheus_client.Gauge(
            f"greengagehaven_control_{name}", text, registry=registry
        )
        gauge.set_function(read)
