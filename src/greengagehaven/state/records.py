"""Records of the replicated log: entries, memberships, votes and snapshots."""

import enum

import msgspec


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A control host as a member of the replicated log.

    :param id: host name and an id of its disk. A host whose disk was wiped joins
        under a new id, as it has lost its votes and could vote twice in a term.
    :param host: name of the host.
    :param address: ``IP:PORT`` for calls between hosts.
    :param voter: whether it votes and counts towards the quorum; a learner doesn't.
    """

    id: str
    host: str
    address: str
    voter: bool


class Membership(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The members of the replicated log, in the order in which they joined.

    :param members: the members once no change is under way.
    :param previous: during a change of one voter, the members before it. A majority
        of the voters of either is a quorum then. Empty if no change is under way.
    :param transition_ids: ids of the members known to run a version that reads
        ``previous``, sorted.
    """

    members: tuple[Member, ...] = ()
    previous: tuple[Member, ...] = ()
    transition_ids: tuple[str, ...] = ()

    @property
    def members_by_id(self) -> dict[str, Member]:
        """Return all members by id."""
        return {member.id: member for member in self.members}

    @property
    def voter_ids(self) -> frozenset[str]:
        """Return the ids of the voters once no change is under way."""
        return _voter_ids(self.members)

    @property
    def quorum(self) -> int:
        """Return the number of ``voter_ids`` that make a majority."""
        return len(self.voter_ids) // 2 + 1

    @property
    def voter_sets(self) -> tuple[frozenset[str], ...]:
        """Return the sets of voter ids of which any majority is a quorum."""
        if not self.previous:
            return (self.voter_ids,)
        return (self.voter_ids, _voter_ids(self.previous))

    @property
    def reachable_by_id(self) -> dict[str, Member]:
        """Return the members by id, and those that a change under way removes."""
        return {member.id: member for member in self.previous + self.members}

    def has_quorum(self, member_ids: set[str]) -> bool:
        """Return whether the members contain a quorum."""
        return any(
            len(member_ids & voter_ids) > len(voter_ids) // 2
            for voter_ids in self.voter_sets
        )

    def with_member(self, member: Member) -> "Membership":
        """Return this membership with a member added or replaced."""
        others = tuple(other for other in self.members if other.id != member.id)
        return Membership(members=(*others, member))

    def without(self, member_id: str) -> "Membership":
        """Return this membership without a member."""
        others = tuple(other for other in self.members if other.id != member_id)
        return Membership(members=others)


def _voter_ids(members: tuple[Member, ...]) -> frozenset[str]:
    return frozenset(member.id for member in members if member.voter)


class EntryKind(enum.IntEnum):
    """Type of the payload of a log entry."""

    EMPTY = 0
    CHANGE = 1
    MEMBERSHIP = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b""


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """The current term of a host and the member it voted for in it, if any."""

    term: int = 0
    member_id: str | None = None


class Position(msgspec.Struct, frozen=True, array_like=True):
    """A position in the log: index and term of an entry."""

    index: int = 0
    term: int = 0


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """State after all entries up to ``last``, which can then be discarded."""

    last: Position = Position()
    membership: Membership = Membership()
    data: bytes = b""


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Identity of a control host, written once before it joins the log.

    :param group_id: id of its replicated log; messages of other logs are dropped.
    """

    host: str
    member_id: str
    group_id: str


class PersistentState(msgspec.Struct, frozen=True, kw_only=True):
    """Persistent state that a control host loads when it starts.

    :param base: position just before the first of ``entries``.
    """

    vote: Vote = Vote()
    snapshot: Snapshot = Snapshot()
    base: Position = Position()
    entries: tuple[Entry, ...] = ()
