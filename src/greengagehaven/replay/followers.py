"""How a replayed entry host follows the configuration: the daemons' decisions."""

import random
import typing

from greengagehaven import clock as clocks
from greengagehaven.coordination import following
from greengagehaven.replay import schedule as schedule_module
from greengagehaven.state import configuration

POLL_S = 0.2


class Sources(typing.Protocol):
    """Where a follower gets states from."""

    def ask_configuration(
        self, asker: str, address: str
    ) -> tuple[configuration.ConfigurationState, float, float] | None:
        """Return (state, its age, seconds of the call), ``None`` if cut off."""


class ReplayedFollower:
    """Follows control hosts or peers, only ever forward.

    :param on_state: takes each newer state.
    """

    def __init__(
        self,
        *,
        host_id: str,
        control_ids: tuple[str, ...],
        peer_ids: typing.Callable[[], list[str]],
        clock: clocks.Clock,
        schedule: schedule_module.Schedule,
        sources: Sources,
        seed: int,
        on_state: typing.Callable[[configuration.ConfigurationState], None],
    ) -> None:
        self._host_id = host_id
        self._schedule = schedule
        self._sources = sources
        self._on_state = on_state
        self._timing = following.Timing()
        self._following = following.Following(
            control_addresses=control_ids,
            peer_addresses=peer_ids,
            clock=clock,
            rng=random.Random(seed),
            timing=self._timing,
        )
        self.state = configuration.ConfigurationState()
        self.is_stopped = False

    @property
    def age(self) -> float:
        """Return seconds for which no leader is known to have been heard."""
        return self._following.age

    def start(self) -> None:
        """Begin to follow."""
        self._follow()
        self._schedule.call_later(self._following.probe_pause, self._probe)

    def _follow(self) -> None:
        if self.is_stopped:
            return
        call = self._following.next_call(hurry=True)
        pause = POLL_S
        if call is not None and not self._ask(call):
            pause = self._timing.call_timeout
        self._schedule.call_later(pause, self._follow)

    def _probe(self) -> None:
        if self.is_stopped:
            return
        call = self._following.next_probe()
        if call is not None:
            self._ask(call)
        self._schedule.call_later(self._following.probe_pause, self._probe)

    def _ask(self, call: following.Call) -> bool:
        answer = self._sources.ask_configuration(self._host_id, call.address)
        if answer is None:
            failed = lambda: self._following.on_failure(call.address)  # noqa: E731
            self._schedule.call_later(self._timing.call_timeout, failed)
            return False
        state, age, delay = answer
        self._schedule.call_later(delay, lambda: self._take(call.address, state, age))
        return True

    def _take(
        self, address: str, state: configuration.ConfigurationState, age: float
    ) -> None:
        if self.is_stopped:
            return
        is_news = state.revision > self.state.revision
        if is_news:
            self.state = state
            self._on_state(state)
        self._following.on_reply(address, age=age, is_news=is_news)
