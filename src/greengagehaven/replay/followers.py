"""Configuration follower of a replayed entry host.

The choice of sources and the timing are those of the daemons.
"""

import random
import typing

from greengagehaven import clock as clocks
from greengagehaven.coordination import configuration_source
from greengagehaven.replay import schedule as schedule_module
from greengagehaven.state import configuration

POLL_PERIOD_S = 0.2


class ConfigurationSources(typing.Protocol):
    """Returns the configuration that another host holds."""

    def fetch_configuration(
        self, requester_id: str, address: str
    ) -> tuple[configuration.ConfigurationState, float, float] | None:
        """Return a host's state, its age and the round-trip time of the call.

        Both durations are in seconds. Returns ``None`` if the host cannot be reached.
        """


class ReplayedFollower:
    """Polls control hosts or peers and applies only newer revisions.

    :param control_ids: control hosts, the preferred sources.
    :param peer_ids: returns the other entry hosts.
    :param on_state: called with each newer state.
    """

    def __init__(
        self,
        *,
        host_id: str,
        control_ids: tuple[str, ...],
        peer_ids: typing.Callable[[], list[str]],
        clock: clocks.Clock,
        schedule: schedule_module.Schedule,
        sources: ConfigurationSources,
        seed: int,
        on_state: typing.Callable[[configuration.ConfigurationState], None],
    ) -> None:
        self._host_id = host_id
        self._schedule = schedule
        self._sources = sources
        self._on_state = on_state
        self._timing = configuration_source.Timing()
        self._source_selector = configuration_source.SourceSelector(
            control_addresses=control_ids,
            peer_addresses=peer_ids,
            clock=clock,
            rng=random.Random(seed),
            timing=self._timing,
        )
        self.state = configuration.ConfigurationState()
        self.is_stopped = False

    @property
    def confirmation_age(self) -> float:
        """Return the seconds since a leader last confirmed the configuration."""
        return self._source_selector.staleness

    def start(self) -> None:
        """Start polling."""
        self._follow()
        self._schedule.call_later(self._source_selector.probe_delay, self._probe)

    def _follow(self) -> None:
        if self.is_stopped:
            return
        call = self._source_selector.next_call(no_wait=True)
        pause = POLL_PERIOD_S
        if call is not None and not self._fetch(call):
            pause = self._timing.call_timeout
        self._schedule.call_later(pause, self._follow)

    def _probe(self) -> None:
        if self.is_stopped:
            return
        call = self._source_selector.next_probe()
        if call is not None:
            self._fetch(call)
        self._schedule.call_later(self._source_selector.probe_delay, self._probe)

    def _fetch(self, call: configuration_source.Call) -> bool:
        reply = self._sources.fetch_configuration(self._host_id, call.address)
        if reply is None:
            report_failure = lambda: self._source_selector.on_failure(call.address)  # noqa: E731
            self._schedule.call_later(self._timing.call_timeout, report_failure)
            return False
        state, age, delay = reply
        self._schedule.call_later(delay, lambda: self._apply(call.address, state, age))
        return True

    def _apply(
        self, address: str, state: configuration.ConfigurationState, age: float
    ) -> None:
        if self.is_stopped:
            return
        is_newer = state.revision > self.state.revision
        if is_newer:
            self.state = state
            self._on_state(state)
        self._source_selector.on_reply(address, staleness=age, is_newer=is_newer)
