"""Which host an entry host follows for configuration, decided without I/O.

One source is asked again and again with a long wait, so that a change arrives
at once and an idle host costs a call every few seconds. A source that is
silent, or that has itself lost touch with the leader, is left. Since a source
that was silently cut off can go on answering, a second one is probed now and
then; if it knows more, it becomes the source.
"""

import dataclasses
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import rng as rngs


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Periods of following, in seconds.

    :param wait: how long a source may hold a call without news.
    :param call_timeout: longest call beyond ``wait``.
    :param pace: shortest time between two calls; changes of this time travel
        together.
    :param max_share: part of the time that putting changes in force may take;
        where a document is large, more changes travel together.
    :param max_pace: longest pause for the sake of ``max_share``.
    :param retry: pause after a call that failed.
    :param probe: period between calls to a second source.
    :param urgent_probe: the same while no leader has been heard of lately.
    :param stale_after: a source that has not heard of a leader for so long is
        left for another.
    """

    wait: float = 5.0
    call_timeout: float = 1.0
    pace: float = 0.1
    max_share: float = 0.03
    max_pace: float = 10.0
    retry: float = 0.3
    probe: float = 3.0
    urgent_probe: float = 1.0
    stale_after: float = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """Ask ``address``, which may hold the call for ``wait`` seconds."""

    address: str
    wait: float
    timeout: float


class Following:
    """Chooses the source of configuration.

    :param control_addresses: control hosts, from the settings.
    :param peer_addresses: gives the other live entry hosts.
    :param clock: monotonic time.
    :param rng: spreads hosts over sources.
    :param timing: periods.
    """

    def __init__(
        self,
        *,
        control_addresses: abc.Sequence[str],
        peer_addresses: abc.Callable[[], abc.Sequence[str]],
        clock: clocks.Clock,
        rng: rngs.Rng,
        timing: Timing,
    ) -> None:
        self._control_addresses = list(control_addresses)
        self._peer_addresses = peer_addresses
        self._clock = clock
        self._rng = rng
        self._timing = timing
        self._source: str | None = None
        self._failed_at_by_address: dict[str, float] = {}
        self._confirmed_at = float("-inf")

    @property
    def source(self) -> str | None:
        """Return the host that is followed."""
        return self._source

    @property
    def is_out_of_touch(self) -> bool:
        """Tell whether no leader has been heard of lately."""
        return self.age >= self._timing.stale_after

    @property
    def probe_pause(self) -> float:
        """Return the time to the next probe; hosts are kept out of step."""
        usual, urgent = self._timing.probe, self._timing.urgent_probe
        period = urgent if self.is_out_of_touch else usual
        return period * self._rng.uniform(0.75, 1.25)

    def pause_after(self, spent: float) -> float:
        """Return the pause before the next call.

        :param spent: seconds that it took to put the last news in force.
        """
        pause = max(self._timing.pace, spent / self._timing.max_share)
        return min(pause, self._timing.max_pace)

    @property
    def age(self) -> float:
        """Return for how many seconds no leader is known to have been heard."""
        return self._clock.monotonic() - self._confirmed_at

    def next_call(self, *, hurry: bool = False) -> Call | None:
        """Return whom to ask now, ``None`` where no other host is known.

        :param hurry: ask without a wait, since nothing is in force yet.
        """
        if self._source is None:
            self._source = self._choose()
        if self._source is None:
            return None
        wait = 0.0 if hurry else self._timing.wait
        return self._call(self._source, wait)

    def next_probe(self) -> Call | None:
        """Return a second host to ask whether it knows more.

        Out of touch, control hosts are asked in turn: entry hosts that follow
        each other would else stay among themselves for long after a control
        host is back.
        """
        if self.is_out_of_touch and self._control_addresses:
            address = self._control_addresses.pop(0)
            self._control_addresses.append(address)
        else:
            address = self._choose(avoid=self._source)
        if address is None:
            return None
        return self._call(address, 0.0)

    def on_reply(self, address: str, *, age: float, is_news: bool) -> None:
        """Take an answer.

        :param age: seconds since the answering host knew of no newer state.
        :param is_news: whether it brought a newer revision.
        """
        self._failed_at_by_address.pop(address, None)
        was_out_of_touch = self.is_out_of_touch
        confirmed_at = self._clock.monotonic() - age
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        is_fresh = age < self._timing.stale_after
        if address == self._source:
            if not is_fresh:
                self._leave(address)
        elif is_fresh and (is_news or was_out_of_touch):
            self._source = address

    def on_failure(self, address: str) -> None:
        """Note that a host did not answer."""
        self._leave(address)

    def _leave(self, address: str) -> None:
        self._failed_at_by_address[address] = self._clock.monotonic()
        if address == self._source:
            self._source = None

    def _call(self, address: str, wait: float) -> Call:
        timeout = wait + self._timing.call_timeout
        return Call(address=address, wait=wait, timeout=timeout)

    def _choose(self, avoid: str | None = None) -> str | None:
        """Return a control host, or a peer where all of those failed lately.

        Among hosts that failed the one that did so longest ago comes first,
        so that every host is tried again in turn.
        """
        control = self._usable(self._control_addresses, avoid)
        if control:
            return self._rng.choice(control)
        peers = self._usable(self._peer_addresses(), avoid)
        if peers:
            return self._rng.choice(peers)
        known = {*self._control_addresses, *self._peer_addresses()} - {avoid}
        return min(
            sorted(known),
            key=lambda address: self._failed_at_by_address.get(address, 0.0),
            default=None,
        )

    def _usable(self, addresses: abc.Sequence[str], avoid: str | None) -> list[str]:
        bound = self._clock.monotonic() - self._timing.stale_after
        failed_at = self._failed_at_by_address
        return [
            address
            for address in addresses
            if address != avoid and failed_at.get(address, float("-inf")) < bound
        ]
