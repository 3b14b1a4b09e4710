"""Failure detection: probes, indirect probes, suspicion, refutation.

One target of the rings is probed each period. Where it does not answer in
time, a few other hosts, one of another zone among them, pass the probe on;
where that fails too, the target is suspected, and it is declared dead unless
it refutes the suspicion with a higher incarnation.
"""

import dataclasses
import math

from greengagehaven import rng as rngs
from greengagehaven.coordination.membership import hosts, rings
from greengagehaven.protocol import membership

PERIOD_S = 0.5
PERIOD_LARGE_S = 1.0
SMALL_ZONE = 16
RELAYS = 2
_SUSPICION_PERIODS = 4.0
_DIRECT_SHARE = 0.5
_RELAYED_SHARE = 0.9
_MAX_HEALTH_SCORE = 4


@dataclasses.dataclass(kw_only=True, slots=True)
class _Probe:
    target: membership.HostRecord
    relays_left: int = 0
    is_answered: bool = False


class Detector:
    """Decides whom to probe and whom to suspect in the own zone.

    :param table: what is known of the hosts.
    :param rng: chooses order and relays.
    """

    def __init__(self, *, table: hosts.HostTable, rng: rngs.Rng) -> None:
        self._table = table
        self._rng = rng
        self._zone = table.own.zone
        self._queue: list[str] = []
        self._next_at = 0.0
        self._health_score = 0
        self._suspected_at_by_id: dict[str, float] = {}
        self._probes_by_target: dict[str, _Probe] = {}

    @property
    def period(self) -> float:
        """Return seconds between probes; longer where this host is slow itself.

        A host whose own probes go unanswered may be the one that is slow or
        cut off, so it becomes slower to accuse others (Lifeguard).
        """
        count = len(self._table.live_ids(self._zone))
        period = PERIOD_S if count <= SMALL_ZONE else PERIOD_LARGE_S
        return period * (1 + self._health_score)

    @property
    def direct_timeout(self) -> float:
        """Return seconds to wait for the answer to a probe."""
        return self.period * _DIRECT_SHARE

    @property
    def relayed_timeout(self) -> float:
        """Return seconds to wait for the answer to an indirect probe."""
        return self.period * _RELAYED_SHARE

    @property
    def suspicion_timeout(self) -> float:
        """Return seconds that a suspected host has for its refutation."""
        count = len(self._table.live_ids(self._zone))
        return _SUSPICION_PERIODS * math.log10(max(10, count)) * self.period

    def next_target(self, now: float) -> membership.HostRecord | None:
        """Return the host to probe now, ``None`` where no probe is due."""
        if now < self._next_at:
            return None
        self._next_at = now + self.period
        target = self._pop_target()
        if target is not None:
            self._probes_by_target[target.id] = _Probe(target=target)
        return target

    def is_waiting_for(self, target_id: str) -> bool:
        """Tell whether a probe is still unanswered."""
        return target_id in self._probes_by_target

    def relays_for(self, target_id: str) -> list[membership.HostRecord]:
        """Return who should pass on the probe that went unanswered."""
        relays = self._choose_relays(target_id)
        self._probes_by_target[target_id].relays_left = len(relays)
        return relays

    def note_answer(self, host_id: str) -> None:
        """Take in a sign of life: an answer, or a message of the host's own."""
        if self._probes_by_target.pop(host_id, None) is not None:
            self._health_score = max(0, self._health_score - 1)

    def note_relay_failed(self, target_id: str) -> membership.HostRecord | None:
        """Take in that a relay got no answer.

        :return: the suspicion to spread, once no relay is left.
        """
        probe = self._probes_by_target.get(target_id)
        if probe is None:
            return None
        probe.relays_left -= 1
        if probe.relays_left > 0:
            return None
        return self.suspect(target_id)

    def suspect(self, target_id: str) -> membership.HostRecord | None:
        """Return the suspicion against a host whose probe has failed for good."""
        self._probes_by_target.pop(target_id, None)
        record = self._table.get(target_id)
        if record is None or record.status is not membership.HostStatus.ALIVE:
            return None
        self._health_score = min(_MAX_HEALTH_SCORE, self._health_score + 1)
        return record.with_status(membership.HostStatus.SUSPECT)

    def note_slow(self) -> None:
        """Take in that this host itself did not keep up with its ticks."""
        self._health_score = min(_MAX_HEALTH_SCORE, self._health_score + 1)

    def watch(self, record: membership.HostRecord, now: float) -> None:
        """Start or end the term of a suspicion, whoever raised it."""
        if record.zone != self._zone:
            return
        if record.status is membership.HostStatus.SUSPECT:
            self._suspected_at_by_id[record.id] = now
        else:
            self._suspected_at_by_id.pop(record.id, None)

    def postpone(self, now: float) -> None:
        """Start the terms of all suspicions anew, as this host hears nobody.

        It would else declare its whole zone dead, and each of them would have
        to refute that when it comes back.
        """
        for host_id in self._suspected_at_by_id:
            self._suspected_at_by_id[host_id] = now

    def expired(self, now: float) -> list[membership.HostRecord]:
        """Return the deaths of hosts that did not refute in time."""
        deaths = []
        for host_id, suspected_at in list(self._suspected_at_by_id.items()):
            if now - suspected_at < self.suspicion_timeout:
                continue
            del self._suspected_at_by_id[host_id]
            record = self._table.get(host_id)
            if record is not None and record.is_live:
                deaths.append(record.with_status(membership.HostStatus.DEAD))
        return deaths

    def _pop_target(self) -> membership.HostRecord | None:
        live = self._table.live_ids(self._zone)
        while self._queue:
            host_id = self._queue.pop()
            if host_id in live and host_id not in self._probes_by_target:
                return self._table.get(host_id)
        self._queue = rings.targets_of(self._table.own.id, live)
        self._rng.shuffle(self._queue)
        idle = [host for host in self._queue if host not in self._probes_by_target]
        if not idle:
            return None
        self._queue.remove(idle[-1])
        return self._table.get(idle[-1])

    def _choose_relays(self, target_id: str) -> list[membership.HostRecord]:
        near = [
            record
            for record in self._table.others(self._zone)
            if record.id != target_id
        ]
        relays = self._rng.sample(near, min(RELAYS, len(near)))
        far = [
            record
            for zone in self._table.zones
            if zone != self._zone
            for record in self._table.others(zone)
        ]
        if far:
            # A cut between two hosts of one zone often leaves the way over
            # another zone open.
            relays.append(self._rng.choice(far))
        return relays
