"""What the replicated log keeps: entries, memberships, votes and snapshots."""

import enum

import msgspec


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A control host under one identity.

    :param id: host name and an id of its disk; a host whose disk was emptied
        comes back under another id, so its forgotten votes are never counted.
    :param host: name of the host.
    :param address: ``IP:PORT`` for calls between hosts.
    :param voter: whether it counts for the quorum; a learner only follows.
    """

    id: str
    host: str
    address: str
    voter: bool


class Membership(msgspec.Struct, frozen=True, kw_only=True):
    """The control hosts, in the order in which they joined."""

    members: tuple[Member, ...] = ()

    @property
    def members_by_id(self) -> dict[str, Member]:
        """Return every member by its id."""
        return {member.id: member for member in self.members}

    @property
    def voter_ids(self) -> frozenset[str]:
        """Return the ids that count for the quorum."""
        return frozenset(member.id for member in self.members if member.voter)

    @property
    def quorum(self) -> int:
        """Return how many voters make a majority."""
        return len(self.voter_ids) // 2 + 1

    def with_member(self, member: Member) -> "Membership":
        """Return this membership with a member added or replaced."""
        kept = tuple(known for known in self.members if known.id != member.id)
        return Membership(members=(*kept, member))

    def without(self, member_id: str) -> "Membership":
        """Return this membership without a member."""
        kept = tuple(known for known in self.members if known.id != member_id)
        return Membership(members=kept)


class EntryKind(enum.IntEnum):
    """What the payload of an entry is."""

    EMPTY = 0
    CHANGE = 1
    MEMBERSHIP = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One place of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b""


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """The term a host has reached and whom it voted for in it."""

    term: int = 0
    member_id: str | None = None


class Position(msgspec.Struct, frozen=True, array_like=True):
    """A place of the log by index and term."""

    index: int = 0
    term: int = 0


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """State after every entry up to ``last``, which may then be dropped."""

    last: Position = Position()
    membership: Membership = Membership()
    data: bytes = b""


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Who a control host is; written once, before it takes part.

    :param group_id: the log it belongs to; messages of others are dropped.
    """

    host: str
    member_id: str
    group_id: str


class Stored(msgspec.Struct, frozen=True, kw_only=True):
    """All that a host finds on its disk when it starts.

    :param base: the place just before the first of ``entries``.
    """

    vote: Vote = Vote()
    snapshot: Snapshot = Snapshot()
    base: Position = Position()
    entries: tuple[Entry, ...] = ()
