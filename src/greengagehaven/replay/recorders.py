"""Recorders of idempotency keys in a replay: three, spread over the zones."""

import itertools
import typing

from greengagehaven import clock as clock_module
from greengagehaven.coordination.idempotency import recorder
from greengagehaven.protocol import claims, trace
from greengagehaven.replay import schedule as schedule_module

COUNT = 3
TIMEOUT_S = 0.8

DelayOf = typing.Callable[[str, str], float | None]
OnReply = typing.Callable[[claims.RecorderReply | None], None]


class ReplayedRecorders:
    """The recorders and the ways to them.

    :param lines: the entry hosts, whose zones the recorders stand in.
    :param delay_of: seconds between two zones, ``None`` where cut off.
    """

    def __init__(
        self,
        *,
        lines: tuple[trace.HostLine, ...],
        clock: clock_module.Clock,
        schedule: schedule_module.Schedule,
        delay_of: DelayOf,
    ) -> None:
        zones = itertools.cycle(sorted({line.zone for line in lines}))
        self.zones_by_id = {f"c-{number}": next(zones) for number in range(COUNT)}
        self._schedule = schedule
        self._delay_of = delay_of
        self._recorders_by_id = {
            recorder_id: recorder.Recorder(
                clock=clock,
                recorder_id=recorder_id,
                recorder_ids=self.ids,
                incarnation=1,
                has_memory=True,
            )
            for recorder_id in self.zones_by_id
        }

    @property
    def ids(self) -> frozenset[str]:
        """Return the fixed set."""
        return frozenset(self.zones_by_id)

    def ask(
        self,
        zone: str,
        recorder_id: str,
        request: claims.RecorderRequest,
        on_reply: OnReply,
    ) -> None:
        """Carry a question from a zone to a recorder and the reply back."""
        waiting = [on_reply]

        def end(reply: claims.RecorderReply | None) -> None:
            if waiting:
                waiting.pop()(reply)

        def arrive() -> None:
            reply, _ = self._recorders_by_id[recorder_id].handle(request)
            back = self._delay_of(self.zones_by_id[recorder_id], zone)
            if back is not None:
                self._schedule.call_later(back, lambda: end(reply))

        self._schedule.call_later(TIMEOUT_S, lambda: end(None))
        there = self._delay_of(zone, self.zones_by_id[recorder_id])
        if there is not None:
            self._schedule.call_later(there, arrive)
