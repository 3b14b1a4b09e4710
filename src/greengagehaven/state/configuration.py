"""Configuration that is replicated by control hosts and applied by entry hosts."""

import dataclasses
import datetime
import typing

import msgspec

from greengagehaven.protocol import rollouts as rollout_messages


class Splice(msgspec.Struct, frozen=True, array_like=True):
    """A single replacement of bytes that turns one document into the next.

    :param offset: byte offset of the replacement.
    :param removed: number of bytes removed at the offset.
    :param inserted: bytes inserted at the offset.
    """

    offset: int
    removed: int
    inserted: bytes

    def apply(self, document: bytes) -> bytes:
        """Return the document with the replacement applied."""
        tail = document[self.offset + self.removed :]
        return document[: self.offset] + self.inserted + tail


def splice_between(old: bytes, new: bytes) -> Splice:
    """Return the smallest single splice from ``old`` to ``new``."""
    shortest = min(len(old), len(new))
    prefix = _common_prefix_length(old, new, shortest)
    suffix = _common_prefix_length(old[::-1], new[::-1], shortest - prefix)
    return Splice(prefix, len(old) - prefix - suffix, new[prefix : len(new) - suffix])


def _common_prefix_length(first: bytes, second: bytes, limit: int) -> int:
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if first[low:middle] == second[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


class ConfigurationState(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration at one revision: document, drained zones and rollouts.

    :param revision: increases with each accepted change.
    :param document: the TOML bytes, empty before the first document.
    :param digest: SHA-256 of the document in hex, empty before the first document.
    :param drained_zones: availability zones that get no new requests.
    :param number: the operator's own number of the document, 0 if it has none.
    :param rollouts: the latest rollout of each service that had one.
    """

    revision: int = 0
    document: bytes = b""
    digest: str = ""
    drained_zones: tuple[str, ...] = ()
    number: int = 0
    rollouts: tuple[rollout_messages.Rollout, ...] = ()


class Delta(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Difference between a revision and the one before.

    :param digest: digest of the document after the change.
    :param splice: change to the document, ``None`` if it is unchanged.
    :param number: the operator's number of the document after the change.
    :param rollout: rollout that was started or moved to its next phase.
    """

    revision: int
    digest: str
    drained_zones: tuple[str, ...] = ()
    splice: Splice | None = None
    number: int = 0
    rollout: rollout_messages.Rollout | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DocumentChange:
    """Operator's change: replace the document.

    :param change_id: id chosen by the operator; a resend with the same id returns
        the first result.
    :param expected_revision: revision the operator saw; ``None`` to force.
    :param proof: signed proof from the trial environment, where production
        requires one.
    :param number: the operator's own number of the document. The document with the
        highest number is active; one that is not higher is accepted without effect.
    """

    change_id: str
    author: str
    document: bytes
    expected_revision: int | None
    proof: bytes = b""
    number: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZoneChange:
    """Operator's change: drain an availability zone or restore it.

    :param expected_revision: revision in force when the change was requested. The
        change is dropped if another one has come into force since; ``None`` to skip
        the check.
    """

    change_id: str
    author: str
    zone: str
    drained: bool
    force: bool = False
    expected_revision: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProofChange:
    """Operator's change: record a proof that a digest was active on all hosts here.

    :param digest: digest of the active document.
    """

    change_id: str
    author: str
    digest: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WithdrawalChange:
    """Operator's change: withdraw a digest, so that it can't be promoted any more.

    :param statement: withdrawal signed by the trial environment; empty if the
        withdrawal is made in this environment.
    """

    change_id: str
    author: str
    digest: str
    statement: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutChange:
    """Operator's change: roll a service out to another software version.

    :param version: version to roll out.
    :param duration: time from the request within which the rollout must finish.
    :param expected_revision: as in ``ZoneChange``.
    """

    change_id: str
    author: str
    service: str
    version: str
    duration: datetime.timedelta
    expected_revision: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutStep:
    """Leader's own change: move a rollout to its next phase.

    :param number: number of the rollout.
    :param detail: measurements on which the step is based, for the audit trail.
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
    """Result of a change, accepted or rejected; all resends get the same one."""

    change_id: str
    accepted: bool
    revision: int
    code: str
    detail: str
    made_at: datetime.datetime


class ConfigurationLog(typing.Protocol):
    """Replicated log of configuration changes, held by a quorum of control hosts."""

    @property
    def current(self) -> ConfigurationState:
        """Return the latest state that is known to be committed."""

    async def propose(self, change: Change) -> ChangeResult:
        """Propose a change and return its result once it is durable.

        :raises ControlError: the outcome is unknown or the change could not be
            committed; resend with the same change id.
        """
