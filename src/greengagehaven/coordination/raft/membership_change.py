"""Selects the next membership change for the leader to propose."""

import math

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
    affects one voter. If there are ``MAX_VOTERS`` already, it takes the place of one
    that is silent. A member whose address changed keeps its role.

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
    is_place_wanted = any(
        _may_become_voter(membership, leader, candidate) for candidate in candidates
    )
    return _without_silent_voter(raft, membership, leader, is_place_wanted)


def _without_silent_voter(
    raft: core.Raft,
    membership: records.Membership,
    leader: leadership.Leadership,
    is_place_wanted: bool,
) -> records.Membership | None:
    """Return the membership without one silent voter, ``None`` to keep it.

    Hosts replaced one after another leave silent voters behind. With two of them among
    four voters there is no quorum although two hosts are healthy, and neither changes
    nor reads are possible. ``dead_after`` is too long a wait where one more loss would
    lead there. A voter that was only suspended joins again.
    """
    timing = raft.timing
    voter_count = len(membership.voter_ids)
    if voter_count <= timing.min_voters or math.isinf(timing.dead_after):
        return None
    silent = leader.silent_voters(timing.replace_after)
    answering_count = voter_count - len(silent)
    is_loss_tolerated = answering_count > membership.quorum
    if is_loss_tolerated and not is_place_wanted:
        silent = leader.silent_voters(timing.dead_after)
    return membership.without(silent[0]) if silent else None


def _may_become_voter(
    membership: records.Membership,
    leader: leadership.Leadership,
    candidate: records.Member,
) -> bool:
    """Return whether a member asked to vote, doesn't yet, and has caught up."""
    is_waiting = candidate.voter and candidate.id not in membership.voter_ids
    return is_waiting and leader.is_caught_up(candidate.id)


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
    has_place = len(membership.voter_ids) < MAX_VOTERS
    if has_place and _may_become_voter(membership, leader, candidate):
        return membership.with_member(candidate)
    return None
