"""Collects the status reports of entry hosts and of the other control hosts."""

import asyncio
import typing

from greengagehaven import exceptions
from greengagehaven.protocol import codec, control

if typing.TYPE_CHECKING:
    from greengagehaven.daemons import control_host as control_host

REPORTS_METHOD = "control/reports"
REPORTS_TIMEOUT_S = 0.5


class ReportCollector:
    """Collects the reports that every member of the log holds.

    :param host: the control host that collects them.
    """

    def __init__(self, *, host: "control_host.ControlHost") -> None:
        self._host = host

    async def handle(self, _body: bytes) -> bytes:
        """Return this host's own reports to another control host."""
        return codec.encode_msgpack(self._own_reply())

    async def collect(self) -> tuple[control.RevisionReport, ...]:
        """Return the newest report of each entry host, sent to any control host."""
        replies = await self.collect_members()
        newest_by_host: dict[str, control.RevisionReport] = {}
        for reply in replies.values():
            for report in () if reply is None else reply.reports:
                newest = newest_by_host.get(report.host_id)
                if newest is None or report.age_ms < newest.age_ms:
                    newest_by_host[report.host_id] = report
        return tuple(newest_by_host[host_id] for host_id in sorted(newest_by_host))

    async def collect_members(self) -> dict[str, control.ReportsReply | None]:
        """Return the reply of each member by its id; ``None`` if it did not answer."""
        raft = self._host.raft
        members = () if raft is None else raft.log.membership.members
        own_id = "" if raft is None else raft.member_id
        others = [member for member in members if member.id != own_id]
        replies = await asyncio.gather(
            *(self._call(member.address) for member in others)
        )
        by_id = dict(zip((member.id for member in others), replies, strict=True))
        return {own_id: self._own_reply(), **by_id}

    def _own_reply(self) -> control.ReportsReply:
        applied = (
            0 if self._host.driver is None else self._host.driver.replica.applied_index
        )
        return control.ReportsReply(
            revision=self._host.state_machine.state.revision,
            applied_index=applied,
            log_bytes=self._host.log_bytes,
            reports=self._host.publisher.fresh_reports(),
        )

    async def _call(self, address: str) -> control.ReportsReply | None:
        try:
            data = await self._host.channel.call(
                address, REPORTS_METHOD, b"", timeout=REPORTS_TIMEOUT_S
            )
            return codec.decode_msgpack(data, control.ReportsReply)
        except (exceptions.PeerError, exceptions.InvalidRequestError):
            return None
