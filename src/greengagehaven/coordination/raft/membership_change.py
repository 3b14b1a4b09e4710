"""Selects the next membership change for the leader to propose."""

from greengagehaven.coordination.raft import core, leadership
from greengagehaven.state import records

MAX_VOTERS = 5


def next_membership(
    raft: core.Raft, candidates: tuple[records.Member, ...]
) -> records.Membership | None:
    """Return the membership to propose next, ``None`` if no change is needed.

    A host that asks to join first becomes a learner. Once it has caught up, an older
    member of the same host is removed, and then the learner becomes a voter. In this
    order the quorum never depends on a host that has not caught up, and each change
    affects one voter. A member whose address changed keeps its role.

    :param raft: the leader.
    :param candidates: members that asked to join; ``voter`` says whether as a voter.
    """
    leader = raft.leadership
    if leader is None:
        return None
    membership = raft.log.membership
    for candidate in candidates:
        change = _change_for_candidate(membership, leader, candidate)
        if change is not None:
            return change
    if leader.is_version_outdated():
        # The leader fills in the versions when it appends the membership.
        return membership
    return _without_dead_voter(raft, membership, leader)


def _without_dead_voter(
    raft: core.Raft, membership: records.Membership, leader: leadership.Leadership
) -> records.Membership | None:
    """Return the membership without one dead voter, ``None`` to keep it.

    Hosts replaced one after another leave dead voters behind. With two dead voters out
    of four there is no quorum although two hosts are healthy, and neither changes nor
    reads are possible.
    """
    dead = leader.dead_voters()
    if not dead or len(membership.voter_ids) <= raft.timing.min_voters:
        return None
    return membership.without(dead[0])


def _change_for_candidate(
    membership: records.Membership,
    leader: leadership.Leadership,
    candidate: records.Member,
) -> records.Membership | None:
    current = membership.members_by_id.get(candidate.id)
    if current is None or current.address != candidate.address:
        voter = current is not None and current.voter
        added_or_moved = records.Member(
            id=candidate.id,
            host=candidate.host,
            address=candidate.address,
            voter=voter,
        )
        return membership.with_member(added_or_moved)
    if not leader.is_caught_up(candidate.id):
        return None
    for member in membership.members:
        if member.host == candidate.host and member.id != candidate.id:
            return membership.without(member.id)
    is_below_max_voters = len(membership.voter_ids) < MAX_VOTERS
    if candidate.voter and not current.voter and is_below_max_voters:
        return membership.with_member(candidate)
    return None
