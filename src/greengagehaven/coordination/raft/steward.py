"""Which membership change a leader makes next, one member at a time."""

from greengagehaven.coordination.raft import core, leadership
from greengagehaven.state import records

MAX_VOTERS = 5


def next_membership(
    raft: core.Raft, candidates: tuple[records.Member, ...]
) -> records.Membership | None:
    """Return the membership to propose now, ``None`` where nothing is due.

    A host that asks to join becomes a learner first. Once it has caught up,
    an older identity of the same host is removed, and then the learner becomes
    a voter: in this order the quorum never rests on a host that is not caught
    up, and each change touches one voter.

    :param raft: the leader.
    :param candidates: members that asked to join, and whether as voters.
    """
    office = raft.leadership
    if office is None:
        return None
    membership = raft.log.membership
    for candidate in candidates:
        change = _advance(membership, office, candidate)
        if change is not None:
            return change
    return _without_dead(raft, membership, office)


def _without_dead(
    raft: core.Raft, membership: records.Membership, office: leadership.Leadership
) -> records.Membership | None:
    """Return the membership without a dead voter, ``None`` where none goes.

    Hosts that are replaced one after the other leave dead voters behind. With two
    of them among four voters no quorum is left, though two hosts are well, and
    nothing can be changed or read any more.
    """
    dead = office.dead_voters()
    if not dead or len(membership.voter_ids) <= raft.timing.least_voters:
        return None
    return membership.without(dead[0])


def _advance(
    membership: records.Membership,
    office: leadership.Leadership,
    candidate: records.Member,
) -> records.Membership | None:
    known = membership.members_by_id.get(candidate.id)
    if known is None or known.address != candidate.address:
        voter = known is not None and known.voter
        learner = records.Member(
            id=candidate.id,
            host=candidate.host,
            address=candidate.address,
            voter=voter,
        )
        return membership.with_member(learner)
    if not office.is_caught_up(candidate.id):
        return None
    for member in membership.members:
        if member.host == candidate.host and member.id != candidate.id:
            return membership.without(member.id)
    has_room = len(membership.voter_ids) < MAX_VOTERS
    if candidate.voter and not known.voter and has_room:
        return membership.with_member(candidate)
    return None
