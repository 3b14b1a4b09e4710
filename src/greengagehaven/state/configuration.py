"""The configuration that control hosts agree on and entry hosts follow."""

import dataclasses
import datetime
import typing

import msgspec


class ConfigurationState(msgspec.Struct, frozen=True, kw_only=True):
    """What is in force after one change: a document and the drained zones.

    :param revision: number of the change that made it; it only grows.
    :param document: the TOML bytes, empty before the first document.
    :param drained_zones: availability zones that take no new work.
    """

    revision: int = 0
    document: bytes = b""
    drained_zones: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DocumentChange:
    """An operator's change: a new document.

    :param change_id: the operator's own id; a resend with it returns the
        first result.
    :param expected_revision: revision the operator saw; ``None`` to force.
    """

    change_id: str
    author: str
    document: bytes
    expected_revision: int | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ZoneChange:
    """An operator's change: drain an availability zone or restore it."""

    change_id: str
    author: str
    zone: str
    drained: bool
    force: bool = False


Change = DocumentChange | ZoneChange


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
    """Where accepted changes are kept: a file today, a quorum of hosts."""

    @property
    def current(self) -> ConfigurationState:
        """Return the newest state that is known to be accepted."""

    async def propose(self, change: Change) -> ChangeResult:
        """Have a change decided; it is durable before this returns.

        :raises ControlError: it could not be decided; resend with the same id.
        """
