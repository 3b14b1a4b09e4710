"""What entry hosts and the other control hosts report of themselves."""

import asyncio
import typing

from greengagehaven import exceptions
from greengagehaven.protocol import codec, control

if typing.TYPE_CHECKING:
    from greengagehaven.daemons import control as control_host

REPORTS_METHOD = "control/reports"
REPORTS_TIMEOUT_S = 0.5


class Reports:
    """Collects reports from every member of the log.

    :param host: the control host that asks.
    """

    def __init__(self, *, host: "control_host.ControlHost") -> None:
        self._host = host

    async def handle(self, _body: bytes) -> bytes:
        """Answer another control host with this one's reports."""
        return codec.encode_msgpack(self._own())

    async def collect(self) -> tuple[control.HostReport, ...]:
        """Return what entry hosts reported to any control host, newest each."""
        replies = await self.collect_members()
        newest: dict[str, control.HostReport] = {}
        for reply in replies.values():
            for report in () if reply is None else reply.reports:
                known = newest.get(report.host_id)
                if known is None or report.age_ms < known.age_ms:
                    newest[report.host_id] = report
        return tuple(newest[host_id] for host_id in sorted(newest))

    async def collect_members(self) -> dict[str, control.ReportsReply | None]:
        """Ask each member for its state; ``None`` where one does not answer."""
        raft = self._host.raft
        members = () if raft is None else raft.log.membership.members
        own_id = "" if raft is None else raft.member_id
        others = [member for member in members if member.id != own_id]
        replies = await asyncio.gather(
            *(self._ask(member.address) for member in others)
        )
        by_id = dict(zip((member.id for member in others), replies, strict=True))
        return {own_id: self._own(), **by_id}

    def _own(self) -> control.ReportsReply:
        applied = (
            0 if self._host.driver is None else self._host.driver.replica.applied_index
        )
        return control.ReportsReply(
            revision=self._host.machine.state.revision,
            applied_index=applied,
            log_bytes=self._host.log_bytes,
            reports=self._host.publisher.reports(),
        )

    async def _ask(self, address: str) -> control.ReportsReply | None:
        try:
            data = await self._host.channel.call(
                address, REPORTS_METHOD, b"", timeout=REPORTS_TIMEOUT_S
            )
            return codec.decode_msgpack(data, control.ReportsReply)
        except (exceptions.PeerError, exceptions.InvalidRequestError):
            return None
