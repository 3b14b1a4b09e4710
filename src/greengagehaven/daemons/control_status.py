"""Builds the status that a control host shows to operators."""

import typing

from greengagehaven.protocol import control as messages
from greengagehaven.protocol import operator

if typing.TYPE_CHECKING:
    from greengagehaven.daemons import control_host

MAX_REPORT_AGE_MS = 15_000
MAX_REPORTED_AGE_S = 1e9


async def collect(
    host: "control_host.ControlHost", *, has_quorum: bool
) -> operator.Status:
    """Return the status of the control and entry hosts, as seen by this host.

    :param has_quorum: whether this host is the leader and a quorum has just answered.
    """
    replies = await host.report_collector.collect_members()
    raft = host.raft
    state = host.state_machine.state
    members = () if raft is None else _member_statuses(host, replies)
    reports = await host.report_collector.collect()
    return operator.Status(
        quorum="ok" if has_quorum else "lost",
        detail=_detail(host, members, has_quorum),
        host=host.settings.host_id,
        role="joining" if raft is None else raft.role,
        term=0 if raft is None else raft.term,
        group_id="" if raft is None else raft.group_id,
        leader=None if raft is None else raft.leader_id,
        revision=state.revision,
        digest=state.digest,
        drained_zones=state.drained_zones,
        age_ms=round(host.staleness * 1000)
        if host.staleness < MAX_REPORTED_AGE_S
        else None,
        members=members,
        hosts=tuple(_host_status(report, state.revision) for report in reports),
    )


def _member_statuses(
    host: "control_host.ControlHost",
    replies: dict[str, messages.ReportsReply | None],
) -> tuple[operator.MemberStatus, ...]:
    raft = host.raft
    assert raft is not None
    statuses = []
    # Shows only committed membership: an uncommitted change may still be rolled
    # back, and an operator who saw it as done might remove the next host too early.
    membership = raft.log.membership_at(raft.commit_index)
    for member in membership.members:
        reply = replies.get(member.id)
        missing = None if reply is None else raft.commit_index - reply.applied_index
        statuses.append(
            operator.MemberStatus(
                host=member.host,
                member_id=member.id,
                address=member.address,
                voter=member.voter,
                leader=member.id == raft.leader_id,
                answers=reply is not None,
                revision=None if reply is None else reply.revision,
                missing_entries=None if missing is None else max(0, missing),
                log_bytes=None if reply is None else reply.log_bytes,
            )
        )
    return tuple(statuses)


def _host_status(
    report: messages.RevisionReport, revision: int
) -> operator.EntryHostStatus:
    if report.age_ms > MAX_REPORT_AGE_MS:
        state = "silent"
    elif report.refused_revision:
        state = "refused"
    elif report.revision < revision:
        state = "behind"
    else:
        state = "current"
    return operator.EntryHostStatus(
        host_id=report.host_id,
        availability_zone=report.availability_zone,
        revision=report.revision,
        age_ms=report.age_ms,
        state=state,
    )


def _detail(
    host: "control_host.ControlHost",
    members: tuple[operator.MemberStatus, ...],
    has_quorum: bool,
) -> str:
    if host.storage_error is not None:
        return f"disk failure on this host: {host.storage_error.detail}"
    if host.raft is None:
        return "this host has not found the log of the other control hosts yet"
    voters = [member for member in members if member.voter]
    answering = sum(member.answers for member in voters)
    needed = len(voters) // 2 + 1
    if has_quorum:
        return f"{answering} of {len(voters)} voters answer, {needed} are needed"
    silent = ", ".join(member.host for member in voters if not member.answers)
    return (
        f"no leader with a quorum; {answering} of {len(voters)} voters answer this "
        f"host, {needed} are needed; no answer from: {silent or 'none'}; changes "
        "are not accepted, entry hosts keep the configuration that is in force"
    )
