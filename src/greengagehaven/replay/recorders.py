"""Replayed recorders of idempotency keys, spread over the zones."""

import itertools
import typing

from greengagehaven import clock as clock_module
from greengagehaven.coordination.idempotency import recorder
from greengagehaven.protocol import claims, trace
from greengagehaven.replay import schedule as schedule_module

RECORDER_COUNT = 3
REPLY_TIMEOUT_S = 0.8

DelayOf = typing.Callable[[str, str], float | None]
OnReply = typing.Callable[[claims.RecorderReply | None], None]


class ReplayedRecorders:
    """The recorders and the simulated network to them.

    :param host_definitions: the entry hosts; the recorders are placed in their zones.
    :param delay_of: returns the one-way delay between two zones in seconds, ``None``
        if partitioned.
    """

    def __init__(
        self,
        *,
        host_definitions: tuple[trace.HostDefinition, ...],
        clock: clock_module.Clock,
        schedule: schedule_module.Schedule,
        delay_of: DelayOf,
    ) -> None:
        zones = itertools.cycle(sorted({line.zone for line in host_definitions}))
        self.zones_by_id = {
            f"c-{number}": next(zones) for number in range(RECORDER_COUNT)
        }
        self._schedule = schedule
        self._delay_of = delay_of
        self._recorders_by_id = {
            recorder_id: recorder.Recorder(
                clock=clock,
                recorder_id=recorder_id,
                recorder_ids=self.ids,
                incarnation=1,
                has_complete_state=True,
            )
            for recorder_id in self.zones_by_id
        }

    @property
    def ids(self) -> frozenset[str]:
        """Return the ids of all recorders; the set is fixed."""
        return frozenset(self.zones_by_id)

    def ask(
        self,
        zone: str,
        recorder_id: str,
        request: claims.RecorderRequest,
        on_reply: OnReply,
    ) -> None:
        """Send a request from a zone to a recorder.

        :param on_reply: called once, with the reply or ``None`` after the timeout.
        """
        # Emptied by the reply or the timeout, so that the later one is ignored.
        pending = [on_reply]

        def finish(reply: claims.RecorderReply | None) -> None:
            if pending:
                pending.pop()(reply)

        def arrive() -> None:
            reply, _ = self._recorders_by_id[recorder_id].handle(request)
            reply_delay = self._delay_of(self.zones_by_id[recorder_id], zone)
            if reply_delay is not None:
                self._schedule.call_later(reply_delay, lambda: finish(reply))

        self._schedule.call_later(REPLY_TIMEOUT_S, lambda: finish(None))
        request_delay = self._delay_of(zone, self.zones_by_id[recorder_id])
        if request_delay is not None:
            self._schedule.call_later(request_delay, arrive)
