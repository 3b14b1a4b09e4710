"""Sending news at once, within a credit."""

from greengagehaven import rng as rngs
from greengagehaven.coordination.membership import calls, knowledge, outbox, rumors
from greengagehaven.protocol import membership

INTERVAL_S = 0.05
FAN_OUT = 3
FAR_TARGETS = 2
MAX_BYTES = 32_768
# News is pushed at once while it is little; when it comes thick it waits and
# travels together. Hosts that are slow would else be suspected, refute, and get
# more calls about that, the slower they answer.
CALLS_PER_S = 6.0
CALLS_AT_ONCE = 40.0


class Pushing:
    """Pushes rumors to partners, and this host's goodbye.

    :param rumors: news, from which the unpushed is taken.
    """

    def __init__(
        self,
        *,
        knowledge: knowledge.Knowledge,
        rumors: rumors.Rumors,
        outbox: outbox.Outbox,
        rng: rngs.Rng,
        now: float,
    ) -> None:
        self._known = knowledge
        self._rumors = rumors
        self._outbox = outbox
        self._rng = rng
        self._push_at = now
        self._credit = CALLS_AT_ONCE
        self._credit_at = now

    def push(self) -> None:
        """Push what is new, if there is credit."""
        now = self._outbox.now
        if now < self._push_at or not self._rumors.has_unpushed:
            return
        earned = (now - self._credit_at) * CALLS_PER_S
        self._credit = min(CALLS_AT_ONCE, self._credit + earned)
        self._credit_at = now
        if self._credit <= 0:
            return
        self._push_at = now + INTERVAL_S
        records, own_records = self._rumors.take_unpushed(MAX_BYTES)
        self._push_to(self._near_targets(), records)
        if own_records:
            self._push_to(self._far_targets(), own_records)

    def say_goodbye(self) -> None:
        """Tell partners what this host's own record says by now."""
        self._push_to((*self._near_targets(), *self._far_targets()), [])

    def _push_to(
        self,
        targets: tuple[membership.HostRecord, ...],
        records: list[rumors.Record],
    ) -> None:
        hosts, upstreams = rumors.split(records)
        message = self._outbox.plain("", hosts=hosts, upstreams=upstreams)
        self._credit -= len(targets)
        for target in targets:
            self._outbox.call(calls.Push(), target, message)

    def _near_targets(self) -> tuple[membership.HostRecord, ...]:
        return self._some_of(self._known.own_zone, FAN_OUT)

    def _far_targets(self) -> tuple[membership.HostRecord, ...]:
        return tuple(
            target
            for zone in self._known.hosts.zones
            if zone != self._known.own_zone
            for target in self._some_of(zone, FAR_TARGETS)
        )

    def _some_of(self, zone: str, count: int) -> tuple[membership.HostRecord, ...]:
        partner_ids = self._known.hosts.partner_ids(zone)
        chosen = self._rng.sample(partner_ids, min(count, len(partner_ids)))
        return tuple(self._known.hosts.records_by_id[host_id] for host_id in chosen)
