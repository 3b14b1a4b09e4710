"""The configuration that control hosts agree on and entry hosts follow."""

import dataclasses
import datetime
import typing

import msgspec

from greengagehaven.protocol import rollouts as rollout_messages


class Splice(msgspec.Struct, frozen=True, array_like=True):
    """What turns one document into the next: bytes put in place of others.

    :param offset: where the two begin to differ.
    :param removed: how many bytes are taken out there.
    """

    offset: int
    removed: int
    inserted: bytes

    def apply(self, document: bytes) -> bytes:
        """Return the document after the change."""
        tail = document[self.offset + self.removed :]
        return document[: self.offset] + self.inserted + tail


def splice_between(old: bytes, new: bytes) -> Splice:
    """Return the smallest single splice from ``old`` to ``new``."""
    shortest = min(len(old), len(new))
    head = _common_prefix(old, new, shortest)
    tail = _common_prefix(old[::-1], new[::-1], shortest - head)
    return Splice(head, len(old) - head - tail, new[head : len(new) - tail])


def _common_prefix(first: bytes, second: bytes, limit: int) -> int:
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if first[low:middle] == second[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


class ConfigurationState(msgspec.Struct, frozen=True, kw_only=True):
    """What is in force after one change: a document and the drained zones.

    :param revision: number of the change that made it; it only grows.
    :param document: the TOML bytes, empty before the first document.
    :param digest: SHA-256 of the document in hex, empty before the first.
    :param drained_zones: availability zones that take no new work.
    :param number: the operator's own number of the document, 0 where it has none.
    :param rollouts: the last roll-out of each service that had one.
    """

    revision: int = 0
    document: bytes = b""
    digest: str = ""
    drained_zones: tuple[str, ...] = ()
    number: int = 0
    rollouts: tuple[rollout_messages.Rollout, ...] = ()


class Delta(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one accepted change did to the state before it.

    :param splice: the change to the document, ``None`` where it stays.
    :param digest: of the document after it.
    :param number: the operator's number of the document after it.
    :param rollout: the roll-out that it began or moved on.
    """

    revision: int
    digest: str
    drained_zones: tuple[str, ...] = ()
    splice: Splice | None = None
    number: int = 0
    rollout: rollout_messages.Rollout | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DocumentChange:
    """An operator's change: a new document.

    :param change_id: the operator's own id; a resend with it returns the
        first result.
    :param expected_revision: revision the operator saw; ``None`` to force.
    :param proof: signed statement of the trial environment, where production
        demands one.
    :param number: the operator's own number of the document. The highest is in
        force; one that is not higher is accepted and changes nothing.
    """

    change_id: str
    author: str
    document: bytes
    expected_revision: int | None
    proof: bytes = b""
    number: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZoneChange:
    """An operator's change: drain an availability zone or restore it."""

    change_id: str
    author: str
    zone: str
    drained: bool
    force: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProofChange:
    """An operator's change: record that a digest proved itself here.

    :param digest: the document in force that is meant.
    """

    change_id: str
    author: str
    digest: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WithdrawalChange:
    """An operator's change: a digest must not be promoted any more.

    :param statement: the signed withdrawal of the trial environment; empty
        where the withdrawal is made here.
    """

    change_id: str
    author: str
    digest: str
    statement: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutChange:
    """An operator's change: move a service to another version of its software.

    :param version: to move to.
    :param duration: time from the order within which the roll-out is to be over.
    """

    change_id: str
    author: str
    service: str
    version: str
    duration: datetime.timedelta


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutStep:
    """The leader's own change: a roll-out goes on to its next phase.

    :param number: of the roll-out.
    :param detail: the figures behind it, for the audit trail.
    """

    change_id: str
    author: str
    service: str
    number: int
    phase: rollout_messages.Phase
    detail: str = ""


Change = (
    DocumentChange
    | ZoneChange
    | ProofChange
    | WithdrawalChange
    | RolloutChange
    | RolloutStep
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChangeResult:
    """First and only result of a change, accepted or refused."""

    change_id: str
    accepted: bool
    revision: int
    code: str
    detail: str
    made_at: datetime.datetime


class ConfigurationLog(typing.Protocol):
    """Where accepted changes are kept: a quorum of control hosts."""

    @property
    def current(self) -> ConfigurationState:
        """Return the newest state that is known to be accepted."""

    async def propose(self, change: Change) -> ChangeResult:
        """Have a change decided; it is durable before this returns.

        :raises ControlError: it could not be decided; resend with the same id.
        """
