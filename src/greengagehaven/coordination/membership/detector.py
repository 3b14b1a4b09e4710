"""SWIM failure detection: probes, indirect probes, suspicion and refutation.

In each period, one of this host's targets on the rings is probed. If it does
not answer in time, a few other hosts, one of them in another zone, relay the
probe. If that fails too, the target is suspected. It is declared dead unless it
refutes the suspicion with a higher incarnation.
"""

import dataclasses
import math

from greengagehaven import rng as rngs
from greengagehaven.coordination.membership import hosts, rings
from greengagehaven.protocol import membership

PROBE_PERIOD_S = 0.5
LARGE_ZONE_PROBE_PERIOD_S = 1.0
MAX_SMALL_ZONE_HOSTS = 16
RELAYS_PER_PROBE = 2
_SUSPICION_PERIODS = 4.0
# Timeouts as multiples of the probe period.
_DIRECT_TIMEOUT_PERIODS = 0.5
_RELAYED_TIMEOUT_PERIODS = 0.9
# As in Lifeguard, 0 means that this host is healthy; higher is worse.
_MAX_HEALTH_SCORE = 4


@dataclasses.dataclass(kw_only=True, slots=True)
class _Probe:
    target: membership.HostRecord
    relays_left: int = 0
    is_answered: bool = False


class Detector:
    """Selects probe targets and tracks suspicions in this host's zone.

    :param table: the host records.
    :param rng: selects the probe order and the relays.
    """

    def __init__(self, *, table: hosts.HostTable, rng: rngs.Rng) -> None:
        self._table = table
        self._rng = rng
        self._zone = table.own.zone
        self._queue: list[str] = []
        self._next_probe_at = 0.0
        self._health_score = 0
        self._suspected_at_by_id: dict[str, float] = {}
        self._probes_by_target: dict[str, _Probe] = {}

    @property
    def period(self) -> float:
        """Return the seconds between probes, scaled by the local health score.

        A host whose own probes go unanswered may itself be slow or partitioned, so it
        takes longer to suspect others and to declare them dead (Lifeguard).
        """
        count = len(self._table.live_ids(self._zone))
        period = (
            PROBE_PERIOD_S
            if count <= MAX_SMALL_ZONE_HOSTS
            else LARGE_ZONE_PROBE_PERIOD_S
        )
        return period * (1 + self._health_score)

    @property
    def direct_timeout(self) -> float:
        """Return the timeout of a direct probe, in seconds."""
        return self.period * _DIRECT_TIMEOUT_PERIODS

    @property
    def relayed_timeout(self) -> float:
        """Return the timeout of an indirect probe, in seconds."""
        return self.period * _RELAYED_TIMEOUT_PERIODS

    @property
    def suspicion_timeout(self) -> float:
        """Return the seconds within which a suspected host must refute."""
        count = len(self._table.live_ids(self._zone))
        return _SUSPICION_PERIODS * math.log10(max(10, count)) * self.period

    def next_target(self, now: float) -> membership.HostRecord | None:
        """Return the host to probe now, ``None`` if no probe is due."""
        if now < self._next_probe_at:
            return None
        self._next_probe_at = now + self.period
        target = self._pop_target()
        if target is not None:
            self._probes_by_target[target.id] = _Probe(target=target)
        return target

    def is_waiting_for(self, target_id: str) -> bool:
        """Return whether a probe of a host is unanswered."""
        return target_id in self._probes_by_target

    def relays_for(self, target_id: str) -> list[membership.HostRecord]:
        """Return the hosts that should relay an unanswered probe."""
        relays = self._choose_relays(target_id)
        self._probes_by_target[target_id].relays_left = len(relays)
        return relays

    def record_answer(self, host_id: str) -> None:
        """Record that a host is alive: it answered or sent a message itself."""
        if self._probes_by_target.pop(host_id, None) is not None:
            self._health_score = max(0, self._health_score - 1)

    def record_relay_failure(self, target_id: str) -> membership.HostRecord | None:
        """Record that an indirect probe got no answer.

        :return: the suspicion to gossip once every relay has failed, else ``None``.
        """
        probe = self._probes_by_target.get(target_id)
        if probe is None:
            return None
        probe.relays_left -= 1
        if probe.relays_left > 0:
            return None
        return self.suspect(target_id)

    def suspect(self, target_id: str) -> membership.HostRecord | None:
        """End a failed probe and return the suspicion to gossip.

        :return: ``None`` if the target is unknown or not alive.
        """
        self._probes_by_target.pop(target_id, None)
        record = self._table.get(target_id)
        if record is None or record.status is not membership.HostStatus.ALIVE:
            return None
        self._health_score = min(_MAX_HEALTH_SCORE, self._health_score + 1)
        return record.with_status(membership.HostStatus.SUSPECT)

    def record_slow_tick(self) -> None:
        """Raise the local health score (a higher one is worse) after a late tick."""
        self._health_score = min(_MAX_HEALTH_SCORE, self._health_score + 1)

    def track_suspicion(self, record: membership.HostRecord, now: float) -> None:
        """Start or clear the suspicion timeout of a host, whoever suspected it."""
        if record.zone != self._zone:
            return
        if record.status is membership.HostStatus.SUSPECT:
            self._suspected_at_by_id[record.id] = now
        else:
            self._suspected_at_by_id.pop(record.id, None)

    def restart_suspicions(self, now: float) -> None:
        """Restart all suspicion timeouts, as this host receives no messages.

        Otherwise it would declare its whole zone dead, and each host would have to
        refute that once the partition heals.
        """
        for host_id in self._suspected_at_by_id:
            self._suspected_at_by_id[host_id] = now

    def take_expired(self, now: float) -> list[membership.HostRecord]:
        """Return ``DEAD`` records of the hosts that did not refute in time."""
        dead = []
        for host_id, suspected_at in list(self._suspected_at_by_id.items()):
            if now - suspected_at < self.suspicion_timeout:
                continue
            del self._suspected_at_by_id[host_id]
            record = self._table.get(host_id)
            if record is not None and record.is_live:
                dead.append(record.with_status(membership.HostStatus.DEAD))
        return dead

    def _pop_target(self) -> membership.HostRecord | None:
        live = self._table.live_ids(self._zone)
        while self._queue:
            host_id = self._queue.pop()
            if host_id in live and host_id not in self._probes_by_target:
                return self._table.get(host_id)
        self._queue = rings.targets_of(self._table.own.id, live)
        self._rng.shuffle(self._queue)
        unprobed = [host for host in self._queue if host not in self._probes_by_target]
        if not unprobed:
            return None
        self._queue.remove(unprobed[-1])
        return self._table.get(unprobed[-1])

    def _choose_relays(self, target_id: str) -> list[membership.HostRecord]:
        same_zone = [
            record
            for record in self._table.others(self._zone)
            if record.id != target_id
        ]
        relays = self._rng.sample(same_zone, min(RELAYS_PER_PROBE, len(same_zone)))
        other_zones = [
            record
            for zone in self._table.zones
            if zone != self._zone
            for record in self._table.others(zone)
        ]
        if other_zones:
            # If the link between two hosts of a zone fails, the path through
            # another zone often still works.
            relays.append(self._rng.choice(other_zones))
        return relays
