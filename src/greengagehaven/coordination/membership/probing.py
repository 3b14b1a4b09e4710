"""Probes within the zone and contacts beyond it."""

from greengagehaven import rng as rngs
from greengagehaven.coordination.membership import (
    calls,
    cluster_view,
    detector,
    merging,
    outbox,
)
from greengagehaven.protocol import membership

CONTACT_INTERVAL_S = 1.0
# Contacts per second from all hosts of a zone together to each other zone.
ZONE_CONTACTS_PER_S = 3
FAILED_HOST_BACKOFF_S = 10.0


class Prober:
    """Schedules the probes and contacts that carry rumors and zone digests.

    :param seeds: addresses to contact while no live host has them.
    """

    def __init__(
        self,
        *,
        view: cluster_view.ClusterView,
        detector: detector.Detector,
        merger: merging.Merger,
        outbox: outbox.Outbox,
        seeds: list[str],
        rng: rngs.Rng,
    ) -> None:
        self._view = view
        self._detector = detector
        self._merger = merger
        self._outbox = outbox
        self._seeds = seeds
        self._rng = rng
        self._contact_at = 0.0
        self._failed_at_by_id: dict[str, float] = {}

    def tick(self) -> None:
        """Send the probes and contacts that are due."""
        now = self._outbox.now
        if not self._view.has_recent_contact(now):
            self._detector.restart_suspicions(now)
        for dead_host in self._detector.take_expired(now):
            self._merger.merge_host(dead_host, push=True, is_own=True)
        target = self._detector.next_target(now)
        if target is not None:
            purpose = calls.Probe(target_id=target.id)
            timeout = self._detector.direct_timeout
            self._outbox.call(purpose, target, timeout=timeout)
        if now >= self._contact_at:
            self._contact_at = now + CONTACT_INTERVAL_S * self._rng.uniform(0.9, 1.1)
            self._contact_zones()
            self._contact_dead_host()
            self._contact_seed()

    def on_answered(
        self, purpose: calls.Probe | calls.RelayedProbe, answer: membership.Exchange
    ) -> None:
        """Record the answer to a probe."""
        if answer.sender.id == purpose.target_id:
            self._detector.record_answer(purpose.target_id)
        else:
            # Another host now uses the address.
            self._suspect(self._detector.suspect(purpose.target_id))

    def on_probe_failed(self, purpose: calls.Probe) -> None:
        """Send indirect probes for a probe that was not answered."""
        if not self._detector.is_waiting_for(purpose.target_id):
            return
        target = self._view.hosts.get(purpose.target_id)
        relays = self._detector.relays_for(purpose.target_id)
        if target is None or not relays:
            self._suspect(self._detector.suspect(purpose.target_id))
            return
        for relay in relays:
            self._outbox.call(
                calls.RelayedProbe(target_id=target.id),
                target,
                timeout=self._detector.relayed_timeout,
                relay=relay,
            )

    def on_relay_failed(self, purpose: calls.RelayedProbe) -> None:
        """Suspect a target once every indirect probe has failed."""
        self._suspect(self._detector.record_relay_failure(purpose.target_id))

    def on_contact_failed(self, purpose: calls.Contact) -> None:
        """Record the failure, so that other hosts are preferred for a while."""
        self._failed_at_by_id[purpose.host_id] = self._outbox.now

    def _suspect(self, suspicion: membership.HostRecord | None) -> None:
        if suspicion is not None:
            # Not marked as own, so it isn't pushed to other zones: it is refuted
            # or confirmed within this zone.
            self._merger.merge_host(suspicion, push=True)

    def _contact_zones(self) -> None:
        zone_size = len(self._view.hosts.live_ids(self._view.own_zone))
        for zone in self._view.hosts.zones:
            if zone == self._view.own_zone:
                continue
            if self._rng.random() < ZONE_CONTACTS_PER_S / zone_size:
                self._contact(
                    f"zone {zone}", self._rng.choice(self._contact_candidates(zone))
                )

    def _contact_candidates(self, zone: str) -> list[membership.HostRecord]:
        """Return partners that did not fail recently, else other hosts of the zone.

        A zone's dead hosts stay listed in other zones until one of its live hosts
        reports them. Finding a live host by random choice could take too long.
        """
        since = self._outbox.now - FAILED_HOST_BACKOFF_S
        self._failed_at_by_id = {
            host_id: failed_at
            for host_id, failed_at in self._failed_at_by_id.items()
            if failed_at >= since
        }
        hosts = self._view.hosts.others(zone)
        partner_ids = self._view.hosts.partner_ids(zone)
        not_failed = [each for each in hosts if each.id not in self._failed_at_by_id]
        return (
            [each for each in not_failed if each.id in partner_ids]
            or not_failed
            or hosts
        )

    def _contact_dead_host(self) -> None:
        dead_hosts = self._view.hosts.dead_hosts()
        if dead_hosts:
            self._contact("silent", self._rng.choice(dead_hosts))

    def _contact_seed(self) -> None:
        if not self._seeds:
            return
        live = {
            record.address
            for record in self._view.hosts.records_by_id.values()
            if record.is_live
        }
        missing = [seed for seed in self._seeds if seed not in live]
        if missing:
            self._contact("seed", self._rng.choice(missing))

    def _contact(self, reason: str, host: membership.HostRecord | str) -> None:
        host_id = host.id if isinstance(host, membership.HostRecord) else host
        purpose = calls.Contact(reason=reason, host_id=host_id)
        if not self._outbox.is_pending(purpose):
            self._outbox.call(purpose, host)
