"""Rate-limited pushes of new records."""

from greengagehaven import rng as rngs
from greengagehaven.coordination.membership import calls, cluster_view, outbox, rumors
from greengagehaven.protocol import membership

PUSH_INTERVAL_S = 0.05
OWN_ZONE_FAN_OUT = 3
OTHER_ZONE_FAN_OUT = 2
MAX_PUSH_BYTES = 32_768
# Token bucket for pushes: single records are pushed at once, and bursts are sent
# in batches. Without the limit, slow hosts would be suspected, refute, and
# receive more calls about it the slower they answer.
CALLS_PER_S = 6.0
MAX_BURST_CALLS = 40.0


class RumorPusher:
    """Pushes rumors to partners, and this host's departure.

    :param rumors: source of the records that have not been pushed yet.
    :param now: monotonic seconds.
    """

    def __init__(
        self,
        *,
        view: cluster_view.ClusterView,
        rumors: rumors.Rumors,
        outbox: outbox.Outbox,
        rng: rngs.Rng,
        now: float,
    ) -> None:
        self._view = view
        self._rumors = rumors
        self._outbox = outbox
        self._rng = rng
        self._push_at = now
        self._tokens = MAX_BURST_CALLS
        self._refilled_at = now

    def push(self) -> None:
        """Push new rumors if the rate limit allows."""
        now = self._outbox.now
        if now < self._push_at or not self._rumors.has_unpushed:
            return
        refill = (now - self._refilled_at) * CALLS_PER_S
        self._tokens = min(MAX_BURST_CALLS, self._tokens + refill)
        self._refilled_at = now
        if self._tokens <= 0:
            return
        self._push_at = now + PUSH_INTERVAL_S
        records, own_records = self._rumors.take_unpushed(MAX_PUSH_BYTES)
        self._push_to(self._own_zone_targets(), records)
        if own_records:
            self._push_to(self._other_zone_targets(), own_records)

    def announce_leave(self) -> None:
        """Push this host's own record, which says that it leaves."""
        self._push_to((*self._own_zone_targets(), *self._other_zone_targets()), [])

    def _push_to(
        self,
        targets: tuple[membership.HostRecord, ...],
        records: list[rumors.Record],
    ) -> None:
        hosts, upstreams = rumors.split_by_type(records)
        message = self._outbox.compose_plain("", hosts=hosts, upstreams=upstreams)
        self._tokens -= len(targets)
        for target in targets:
            self._outbox.call(calls.Push(), target, message)

    def _own_zone_targets(self) -> tuple[membership.HostRecord, ...]:
        return self._sample_partners(self._view.own_zone, OWN_ZONE_FAN_OUT)

    def _other_zone_targets(self) -> tuple[membership.HostRecord, ...]:
        return tuple(
            target
            for zone in self._view.hosts.zones
            if zone != self._view.own_zone
            for target in self._sample_partners(zone, OTHER_ZONE_FAN_OUT)
        )

    def _sample_partners(
        self, zone: str, count: int
    ) -> tuple[membership.HostRecord, ...]:
        partner_ids = self._view.hosts.partner_ids(zone)
        chosen = self._rng.sample(partner_ids, min(count, len(partner_ids)))
        return tuple(self._view.hosts.records_by_id[host_id] for host_id in chosen)
