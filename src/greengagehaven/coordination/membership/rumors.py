"""News that this host still has to pass on."""

import dataclasses
import typing

from greengagehaven.protocol import membership

TRANSMISSIONS = 3
# Beyond this many, news is left to anti-entropy: a burst that is pushed whole
# would crowd out everything else.
MAX_RUMORS = 512

Record = membership.HostRecord | membership.UpstreamRecord
_HOST_BYTES = 64
_UPSTREAM_BYTES = 96


@dataclasses.dataclass(kw_only=True, slots=True)
class _Rumor:
    record: Record
    left: int
    is_own: bool
    is_pushed: bool = False


class Rumors:
    """Records to piggyback, the least often sent first, each a few times.

    A rumor that reaches nobody is not lost: anti-entropy finds the difference.
    """

    def __init__(self) -> None:
        self._rumors_by_key: dict[tuple[type, str], _Rumor] = {}

    def add(self, record: Record, *, is_own: bool, push: bool = True) -> None:
        """Pass a record on, in place of an older one of the same id.

        :param push: whether to send it at once, besides with probes.
        :param is_own: whether this host is the first to say so; then it sees
            to it that other zones hear it at once.
        """
        key = (type(record), record.id)
        self._rumors_by_key.pop(key, None)
        if len(self._rumors_by_key) >= MAX_RUMORS:
            del self._rumors_by_key[next(iter(self._rumors_by_key))]
        self._rumors_by_key[key] = _Rumor(
            record=record, left=TRANSMISSIONS, is_own=is_own, is_pushed=not push
        )

    @property
    def has_unpushed(self) -> bool:
        """Tell whether some rumor has to be sent at once."""
        return any(not rumor.is_pushed for rumor in self._rumors_by_key.values())

    def take_unpushed(self, max_bytes: int) -> tuple[list[Record], list[Record]]:
        """Return rumors to send at once, up to about ``max_bytes``.

        :return: all of them, and those that this host is the first to say.
        """
        fresh = {
            key: rumor
            for key, rumor in self._rumors_by_key.items()
            if not rumor.is_pushed
        }
        taken = self._take(fresh, max_bytes)
        for rumor in taken:
            rumor.is_pushed = True
        return (
            [rumor.record for rumor in taken],
            [rumor.record for rumor in taken if rumor.is_own],
        )

    def take(self, max_bytes: int) -> list[Record]:
        """Return rumors to piggyback, up to about ``max_bytes``."""
        return [rumor.record for rumor in self._take(self._rumors_by_key, max_bytes)]

    def _take(
        self, rumors: dict[tuple[type, str], _Rumor], max_bytes: int
    ) -> list[_Rumor]:
        taken = []
        ordered = sorted(rumors.items(), key=lambda item: -item[1].left)
        for key, rumor in ordered:
            max_bytes -= size_of(rumor.record)
            if max_bytes < 0:
                break
            rumor.left -= 1
            taken.append(rumor)
            if rumor.left <= 0:
                del self._rumors_by_key[key]
        return taken


def size_of(record: Record) -> int:
    """Return about how many bytes a record takes in a message."""
    if isinstance(record, membership.HostRecord):
        return _HOST_BYTES
    return _UPSTREAM_BYTES + len(record.body)


def split(
    records: typing.Iterable[Record],
) -> tuple[
    tuple[membership.HostRecord, ...],
    tuple[membership.UpstreamRecord, ...],
]:
    """Return the host records and the upstream records."""
    hosts = []
    upstreams = []
    for record in records:
        if isinstance(record, membership.HostRecord):
            hosts.append(record)
        else:
            upstreams.append(record)
    return tuple(hosts), tuple(upstreams)
