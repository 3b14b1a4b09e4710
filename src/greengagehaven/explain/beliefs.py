"""What a host believed at a moment, from what it had logged until then."""

import dataclasses
import datetime

from greengagehaven.explain import lines


@dataclasses.dataclass(kw_only=True)
class Beliefs:
    """State of one host, line by line.

    :param lost_by_id: upstreams that count as out of reach, since when.
    :param ejected_by_id: upstreams that were set aside, until when.
    :param lost_controls: control hosts that do not answer.
    :param convicted: fingerprints of requests that crash upstreams.
    """

    zone: str = ""
    revision: str = "none"
    drained: str = ""
    is_cut_off: bool = False
    lost_by_id: dict[str, datetime.datetime] = dataclasses.field(default_factory=dict)
    ejected_by_id: dict[str, datetime.datetime] = dataclasses.field(
        default_factory=dict
    )
    lost_controls: set[str] = dataclasses.field(default_factory=set)
    convicted: set[str] = dataclasses.field(default_factory=set)

    def take(self, line: lines.Line) -> None:
        """Take in one more line of the host."""
        fields = line.fields
        match line.event:
            case "started":
                self._forget()
                self.zone = fields.get("zone", "")
            case "configuration_in_force":
                self.revision = fields.get("revision", "none")
                self.drained = fields.get("drained", "")
            case "upstream_out_of_reach":
                self.lost_by_id[fields.get("upstream", "")] = line.moment
            case "upstream_reached":
                self.lost_by_id.pop(fields.get("upstream", ""), None)
            case "upstream_ejected":
                lasts = datetime.timedelta(milliseconds=line.number("for_ms"))
                self.ejected_by_id[fields.get("upstream", "")] = line.moment + lasts
            case "control_lost":
                self.lost_controls.add(fields.get("address", ""))
            case "control_reached":
                self.lost_controls.discard(fields.get("address", ""))
            case "request_convicted":
                self.convicted.add(fields.get("fingerprint", ""))
            case "cut_off":
                self.is_cut_off = True
            case "cut_off_ended":
                self.is_cut_off = False

    def _forget(self) -> None:
        """Believe nothing, as a host does that has just started."""
        self.revision, self.drained, self.is_cut_off = "none", "", False
        for known in (self.lost_by_id, self.ejected_by_id):
            known.clear()
        for names in (self.lost_controls, self.convicted):
            names.clear()

    def described(self, moment: datetime.datetime) -> list[str]:
        """Return what differs from a calm host, a line each."""
        told = [f"zone {self.zone or 'unknown'}, configuration {self.revision}"]
        if self.drained:
            told.append(f"zones taken out: {self.drained}")
        if self.is_cut_off:
            told.append("cut off from every other zone")
        if self.lost_controls:
            told.append("no answer from control: " + ", ".join(self.lost_controls))
        for upstream, since in sorted(self.lost_by_id.items()):
            told.append(f"{upstream} out of reach for {_ms(moment - since)} ms")
        for upstream, until in sorted(self.ejected_by_id.items()):
            if until > moment:
                told.append(f"{upstream} set aside for {_ms(until - moment)} ms more")
        if self.convicted:
            told.append(f"{len(self.convicted)} requests convicted of crashes")
        return told


def _ms(duration: datetime.timedelta) -> int:
    return round(duration.total_seconds() * 1000)
