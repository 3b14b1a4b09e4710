"""Records that this host still has to gossip."""

import dataclasses
import typing

from greengagehaven.protocol import membership

MAX_TRANSMISSIONS = 3
# Beyond this number the oldest rumor is dropped and left to anti-entropy, as
# pushing a large burst in full would displace all other traffic.
MAX_RUMORS = 512

Record = membership.HostRecord | membership.UpstreamRecord
_HOST_BYTES = 64
_UPSTREAM_BYTES = 96


@dataclasses.dataclass(kw_only=True, slots=True)
class _Rumor:
    record: Record
    transmissions_left: int
    is_own: bool
    is_pushed: bool = False


class Rumors:
    """Records to gossip, each a few times, least often sent first.

    A rumor that reaches no host is not lost, as anti-entropy finds the difference.
    """

    def __init__(self) -> None:
        self._rumors_by_key: dict[tuple[type, str], _Rumor] = {}

    def add(self, record: Record, *, is_own: bool, push: bool = True) -> None:
        """Queue a record, replacing an older one with the same id.

        :param is_own: whether the record originates from this host, which then also
            pushes it to other zones.
        :param push: whether to push it at once in addition to piggybacking it.
        """
        key = (type(record), record.id)
        self._rumors_by_key.pop(key, None)
        if len(self._rumors_by_key) >= MAX_RUMORS:
            del self._rumors_by_key[next(iter(self._rumors_by_key))]
        self._rumors_by_key[key] = _Rumor(
            record=record,
            transmissions_left=MAX_TRANSMISSIONS,
            is_own=is_own,
            is_pushed=not push,
        )

    @property
    def has_unpushed(self) -> bool:
        """Return whether a rumor is waiting to be pushed."""
        return any(not rumor.is_pushed for rumor in self._rumors_by_key.values())

    def take_unpushed(self, max_bytes: int) -> tuple[list[Record], list[Record]]:
        """Return rumors to push, up to about ``max_bytes``.

        :return: all of them, and those that originate from this host.
        """
        unpushed = {
            key: rumor
            for key, rumor in self._rumors_by_key.items()
            if not rumor.is_pushed
        }
        taken = self._take(unpushed, max_bytes)
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
        ordered = sorted(rumors.items(), key=lambda item: -item[1].transmissions_left)
        for key, rumor in ordered:
            max_bytes -= size_of(rumor.record)
            if max_bytes < 0:
                break
            rumor.transmissions_left -= 1
            taken.append(rumor)
            if rumor.transmissions_left <= 0:
                del self._rumors_by_key[key]
        return taken


def size_of(record: Record) -> int:
    """Return the approximate size of a record in a message, in bytes."""
    if isinstance(record, membership.HostRecord):
        return _HOST_BYTES
    return _UPSTREAM_BYTES + len(record.body)


def split_by_type(
    records: typing.Iterable[Record],
) -> tuple[
    tuple[membership.HostRecord, ...],
    tuple[membership.UpstreamRecord, ...],
]:
    """Return the host records and the upstream records separately."""
    hosts = []
    upstreams = []
    for record in records:
        if isinstance(record, membership.HostRecord):
            hosts.append(record)
        else:
            upstreams.append(record)
    return tuple(hosts), tuple(upstreams)
