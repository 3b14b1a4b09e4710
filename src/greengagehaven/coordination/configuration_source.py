"""Selection of the host from which an entry host receives configuration, without I/O.

An entry host long-polls one source, so that a change arrives at once and an idle
host makes one call every few seconds. It drops a source that does not respond or
that has lost contact with the leader. A source that is cut off may keep
responding, so a second one is probed periodically and becomes the source if it
has newer state.
"""

import dataclasses
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import rng as rngs


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Periods and timeouts, in seconds.

    :param wait: how long a source may hold a long poll without newer state.
    :param call_timeout: timeout of a call beyond ``wait``.
    :param min_pause: shortest pause between two calls; changes made meanwhile
        are delivered together.
    :param max_apply_share: share of the time that may be spent applying
        changes. For a large document the pause is longer, so that more changes
        are applied at once.
    :param max_pause: longest pause that ``max_apply_share`` may cause.
    :param retry_delay: pause after a failed call.
    :param probe_period: period of calls to a second source.
    :param stale_probe_period: value of ``probe_period`` while this host's state is
        stale.
    :param stale_after: time without confirmation by a leader after which a
        host's state is stale; a failed host is avoided for the same time.
    """

    wait: float = 5.0
    call_timeout: float = 1.0
    min_pause: float = 0.1
    max_apply_share: float = 0.03
    max_pause: float = 10.0
    retry_delay: float = 0.3
    probe_period: float = 3.0
    stale_probe_period: float = 1.0
    stale_after: float = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A call to ``address``, which may hold it for ``wait`` seconds."""

    address: str
    wait: float
    timeout: float


class SourceSelector:
    """Selects the host from which configuration is received.

    :param control_addresses: control hosts from the settings.
    :param peer_addresses: returns the addresses of the other live entry hosts.
    :param clock: source of monotonic time.
    :param rng: distributes entry hosts over sources.
    :param timing: periods and timeouts.
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
        """Return the address of the current source."""
        return self._source

    @property
    def is_stale(self) -> bool:
        """Return whether no leader has confirmed this host's state recently."""
        return self.staleness >= self._timing.stale_after

    @property
    def probe_delay(self) -> float:
        """Return the seconds until the next probe, with random jitter."""
        usual_period, stale_period = (
            self._timing.probe_period,
            self._timing.stale_probe_period,
        )
        period = stale_period if self.is_stale else usual_period
        return period * self._rng.uniform(0.75, 1.25)

    def pause_after(self, apply_time: float) -> float:
        """Return the pause before the next call, in seconds.

        :param apply_time: seconds that it took to apply the last change.
        """
        pause = max(self._timing.min_pause, apply_time / self._timing.max_apply_share)
        return min(pause, self._timing.max_pause)

    @property
    def staleness(self) -> float:
        """Return the seconds since a leader last confirmed that nothing is newer."""
        return self._clock.monotonic() - self._confirmed_at

    def next_call(self, *, no_wait: bool = False) -> Call | None:
        """Return the next call to the source, ``None`` if no other host is known.

        :param no_wait: ask for an immediate response, because this host has no
            configuration yet.
        """
        if self._source is None:
            self._source = self._choose()
        if self._source is None:
            return None
        wait = 0.0 if no_wait else self._timing.wait
        return self._call(self._source, wait)

    def next_probe(self) -> Call | None:
        """Return a call to a second host that may have newer state.

        While this host's state is stale, control hosts are probed in turn.
        Otherwise entry hosts that follow each other could keep doing so long
        after a control host has recovered.
        """
        if self.is_stale and self._control_addresses:
            address = self._control_addresses.pop(0)
            self._control_addresses.append(address)
        else:
            address = self._choose(avoid=self._source)
        if address is None:
            return None
        return self._call(address, 0.0)

    def on_reply(self, address: str, *, staleness: float, is_newer: bool) -> None:
        """Record a response.

        :param staleness: seconds since a leader last confirmed to the responding host,
            directly or through others, that nothing is newer.
        :param is_newer: whether the response contained a newer revision.
        """
        self._failed_at_by_address.pop(address, None)
        was_stale = self.is_stale
        confirmed_at = self._clock.monotonic() - staleness
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        is_fresh = staleness < self._timing.stale_after
        if address == self._source:
            if not is_fresh:
                self._drop_source(address)
        elif is_fresh and (is_newer or was_stale):
            self._source = address

    def on_failure(self, address: str) -> None:
        """Record that a host did not respond."""
        self._drop_source(address)

    def _drop_source(self, address: str) -> None:
        self._failed_at_by_address[address] = self._clock.monotonic()
        if address == self._source:
            self._source = None

    def _call(self, address: str, wait: float) -> Call:
        timeout = wait + self._timing.call_timeout
        return Call(address=address, wait=wait, timeout=timeout)

    def _choose(self, avoid: str | None = None) -> str | None:
        """Return a random control host, or a peer if all of them failed recently.

        If every host failed recently, the one that failed longest ago is
        returned, so that all hosts are retried in turn.
        """
        control = self._not_failed_recently(self._control_addresses, avoid)
        if control:
            return self._rng.choice(control)
        peers = self._not_failed_recently(self._peer_addresses(), avoid)
        if peers:
            return self._rng.choice(peers)
        known = {*self._control_addresses, *self._peer_addresses()} - {avoid}
        return min(
            sorted(known),
            key=lambda address: self._failed_at_by_address.get(address, 0.0),
            default=None,
        )

    def _not_failed_recently(
        self, addresses: abc.Sequence[str], avoid: str | None
    ) -> list[str]:
        failed_before = self._clock.monotonic() - self._timing.stale_after
        failed_at = self._failed_at_by_address
        return [
            address
            for address in addresses
            if address != avoid
            and failed_at.get(address, float("-inf")) < failed_before
        ]
