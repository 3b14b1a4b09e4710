"""Which control host tells an entry host the news, decided without I/O.

The load it answers: hundreds of entry hosts that each hear every change from every
control host. Most of those bytes cross the border of an availability zone, and all
but the first telling are of no use. A host therefore follows one control host, of
its own zone where there is one, and compares digests with the others now and then.
It follows all of them while none is known to be in touch with a majority.
"""

import dataclasses
import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven.coordination import rendezvous

SETTLE_S = 1.0
"""Seconds from the first reply during which a control host of the own zone is waited
for; all hosts start together, and some take longer."""


MAX_DIFFERENCE_S = 4.0
"""Seconds after which news is asked for though more of it comes all the time."""


MIN_COMPARE_PERIOD_S = 3.0
MAX_COMPARE_PERIOD_S = 6.0
"""Seconds between two comparisons with one control host that is not followed."""

COMPARE_STEP_S = 0.8
"""Seconds between two comparisons with any of them. What the control host that is
followed lacks is known to most others, so that one of them in a second is enough."""


def compare_period(others: int) -> float:
    """Return the seconds between two comparisons with one control host.

    :param others: control hosts that are not followed.
    """
    period = COMPARE_STEP_S * others
    return min(MAX_COMPARE_PERIOD_S, max(MIN_COMPARE_PERIOD_S, period))


class Comparison:
    """Whether a control host that is not followed knows what this host lacks.

    ``lacks_news`` tells that the difference is one that the host followed does not
    make up, ``is_open`` that there is one that is not decided yet.
    """

    def __init__(self) -> None:
        self.lacks_news = False
        self._differs_since: float | None = None
        self._last_digest: int | None = None
        self._lasting_digest: int | None = None

    @property
    def is_open(self) -> bool:
        """Tell whether a difference is to be looked at again soon."""
        return self._differs_since is not None

    def on_difference(self, digest: int, now: float, *, is_certain: bool) -> None:
        """Take a digest that is not this host's.

        :param is_certain: whether the other knows a newer revision.
        """
        if digest == self._lasting_digest and not is_certain:
            self._differs_since = None
        elif self._differs_since is None:
            self._differs_since = now
        else:
            # Where the digest stands still, the host followed has had time to tell.
            stands_still = digest == self._last_digest
            is_long = now - self._differs_since > MAX_DIFFERENCE_S
            self.lacks_news = stands_still or is_long
        self._last_digest = digest

    def on_news(self, lasting_digest: int | None) -> None:
        """Take in that all the other's news is held.

        :param lasting_digest: the other's digest where it differs all the same.
        """
        self.lacks_news = False
        self._differs_since = None
        self._lasting_digest = lasting_digest


class Sources(typing.Protocol):
    """Says which control hosts are asked for all their news."""

    @property
    def is_settled(self) -> bool:
        """Tell whether the choice waits for nothing more."""

    def followed(self, known: abc.Iterable[str]) -> frozenset[str]:
        """Return those of the ``known`` addresses to ask for all their news."""

    def on_reply(self, address: str, *, zone: str, in_touch: bool) -> None:
        """Take what a control host said of itself."""

    def on_failure(self, address: str) -> None:
        """Note that a control host did not answer."""


class EverySource:
    """Follows every control host; for control hosts themselves."""

    is_settled = True

    def followed(self, known: abc.Iterable[str]) -> frozenset[str]:
        """Return all of them."""
        return frozenset(known)

    def on_reply(self, address: str, *, zone: str, in_touch: bool) -> None:
        """Take what a control host said of itself."""

    def on_failure(self, address: str) -> None:
        """Note that a control host did not answer."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Source:
    zone: str
    in_touch: bool


class NearestSource:
    """Follows one control host that is in touch, of the own zone if there is one.

    All hosts of a zone choose the same one, which then knows all of them.

    :param zone: availability zone of this host.
    :param clock: monotonic time.
    """

    def __init__(self, *, zone: str, clock: clocks.Clock) -> None:
        self._zone = zone
        self._clock = clock
        self._sources_by_address: dict[str, _Source] = {}
        self._settled_at = float("inf")

    @property
    def is_settled(self) -> bool:
        """Tell whether the choice waits for nothing more."""
        return self._clock.monotonic() >= self._settled_at

    def followed(self, known: abc.Iterable[str]) -> frozenset[str]:
        """Return those of the ``known`` addresses to ask for all their news."""
        in_touch = self._replying(in_touch=True)
        near = self._near(in_touch)
        if not near and not self.is_settled:
            near = self._near(self._replying())
        if near:
            return frozenset({self._first(near)})
        if not self.is_settled:
            return frozenset()
        if in_touch:
            return frozenset({self._first(in_touch)})
        return frozenset(known)

    def on_reply(self, address: str, *, zone: str, in_touch: bool) -> None:
        """Take what a control host said of itself."""
        if not self._sources_by_address:
            now = self._clock.monotonic()
            self._settled_at = min(self._settled_at, now + SETTLE_S)
        self._sources_by_address[address] = _Source(zone=zone, in_touch=in_touch)

    def on_failure(self, address: str) -> None:
        """Note that a control host did not answer."""
        self._sources_by_address.pop(address, None)

    def _replying(self, *, in_touch: bool = False) -> list[str]:
        return [
            address
            for address, source in self._sources_by_address.items()
            if source.in_touch or not in_touch
        ]

    def _near(self, addresses: abc.Iterable[str]) -> list[str]:
        return [
            address
            for address in addresses
            if self._sources_by_address[address].zone == self._zone
        ]

    def _first(self, addresses: abc.Sequence[str]) -> str:
        return rendezvous.pick(self._zone, addresses)
