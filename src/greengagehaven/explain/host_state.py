"""State of a host at a point in time, rebuilt from its log lines.

A request is explained by what its host knew when the request arrived, which may
differ from what was true.
"""

import dataclasses
import datetime

from greengagehaven.explain import lines


@dataclasses.dataclass(kw_only=True)
class HostState:
    """State of one host, updated line by line.

    :param zone: availability zone of the host.
    :param revision: revision of the configuration in force.
    :param drained: drained zones, as logged.
    :param contact_lost_at: when it last heard from a control host that reaches a
        majority, ``None`` while it does.
    :param failed_tasks: tasks that had an unexpected error since the start.
    :param is_cut_off: whether the host is partitioned from every other zone.
    :param lease_lost_at: when the host lost its key lease, ``None`` if it has not.
    :param unreachable_since_by_id: unreachable upstreams, since when.
    :param ejected_until_by_id: ejected upstreams, until when.
    :param unreachable_controls: addresses of unreachable control hosts.
    :param quarantined_fingerprints: of requests that crash upstreams.
    """

    zone: str = ""
    revision: str = "none"
    drained: str = ""
    is_cut_off: bool = False
    contact_lost_at: datetime.datetime | None = None
    failed_tasks: set[str] = dataclasses.field(default_factory=set)
    lease_lost_at: datetime.datetime | None = None
    unreachable_since_by_id: dict[str, datetime.datetime] = dataclasses.field(
        default_factory=dict
    )
    ejected_until_by_id: dict[str, datetime.datetime] = dataclasses.field(
        default_factory=dict
    )
    unreachable_controls: set[str] = dataclasses.field(default_factory=set)
    quarantined_fingerprints: set[str] = dataclasses.field(default_factory=set)

    def apply(self, line: lines.Line) -> None:
        """Update the state with the next line of the host."""
        fields = line.fields
        match line.event:
            case "started":
                self._reset()
                self.zone = fields.get("zone", "")
            case "configuration_in_force":
                self.revision = fields.get("revision", "none")
                self.drained = fields.get("drained", "")
            case "upstream_out_of_reach":
                self.unreachable_since_by_id[fields.get("upstream", "")] = line.moment
            case "upstream_reached":
                self.unreachable_since_by_id.pop(fields.get("upstream", ""), None)
            case "upstream_ejected":
                duration = datetime.timedelta(milliseconds=line.parse_number("for_ms"))
                self.ejected_until_by_id[fields.get("upstream", "")] = (
                    line.moment + duration
                )
            case "control_lost":
                self.unreachable_controls.add(fields.get("address", ""))
            case "control_reached":
                self.unreachable_controls.discard(fields.get("address", ""))
            case "request_convicted":
                self.quarantined_fingerprints.add(fields.get("fingerprint", ""))
            case "key_lease_lost":
                late = datetime.timedelta(milliseconds=line.parse_number("noticed_ms"))
                self.lease_lost_at = line.moment - late
            case "control_contact_lost":
                age = datetime.timedelta(milliseconds=line.parse_number("age_ms"))
                self.contact_lost_at = line.moment - age
            case "control_contact_regained":
                self.contact_lost_at = None
            case "task_failed":
                self.failed_tasks.add(fields.get("task", ""))
            case "key_lease_acquired":
                self.lease_lost_at = None
            case "cut_off":
                self.is_cut_off = True
            case "cut_off_ended":
                self.is_cut_off = False

    def _reset(self) -> None:
        """Reset everything that a host forgets when it restarts."""
        self.revision, self.drained, self.is_cut_off = "none", "", False
        self.lease_lost_at = self.contact_lost_at = None
        for times_by_id in (self.unreachable_since_by_id, self.ejected_until_by_id):
            times_by_id.clear()
        for members in (
            self.unreachable_controls,
            self.quarantined_fingerprints,
            self.failed_tasks,
        ):
            members.clear()

    def describe(self, moment: datetime.datetime) -> list[str]:
        """Return the state as text, one line per fact.

        Zone and configuration always have a line, all else only if it is abnormal.

        :param moment: for which elapsed and remaining times are computed.
        """
        described = [f"zone {self.zone or 'unknown'}, configuration {self.revision}"]
        if self.drained:
            described.append(f"drained zones: {self.drained}")
        if self.is_cut_off:
            described.append("partitioned from every other zone")
        if self.lease_lost_at is not None:
            described.append(
                f"without a key lease for {_to_ms(moment - self.lease_lost_at)} ms"
            )
        if self.contact_lost_at is not None:
            described.append(
                "without contact to the control hosts for "
                f"{_to_ms(moment - self.contact_lost_at)} ms"
            )
        if self.failed_tasks:
            described.append("failed tasks: " + ", ".join(sorted(self.failed_tasks)))
        if self.unreachable_controls:
            described.append(
                "unreachable control hosts: " + ", ".join(self.unreachable_controls)
            )
        for upstream, since in sorted(self.unreachable_since_by_id.items()):
            described.append(f"{upstream} out of reach for {_to_ms(moment - since)} ms")
        for upstream, until in sorted(self.ejected_until_by_id.items()):
            if until > moment:
                described.append(
                    f"{upstream} ejected for another {_to_ms(until - moment)} ms"
                )
        if self.quarantined_fingerprints:
            described.append(
                f"{len(self.quarantined_fingerprints)} requests quarantined for "
                "crashing upstreams"
            )
        return described


def _to_ms(duration: datetime.timedelta) -> int:
    return round(duration.total_seconds() * 1000)
