"""Probes inside the zone, and contacts beyond it."""

from greengagehaven import rng as rngs
from greengagehaven.coordination.membership import (
    calls,
    detector,
    intake,
    knowledge,
    outbox,
)
from greengagehaven.protocol import membership

CONTACT_PERIOD_S = 1.0
# Contacts a second from one whole zone to each other zone.
ZONE_CONTACTS = 3
AVOID_FAILED_S = 10.0


class Probing:
    """Decides when to call whom, so that news and digests meet.

    :param seeds: addresses to ask where they are no live host's.
    """

    def __init__(
        self,
        *,
        knowledge: knowledge.Knowledge,
        detector: detector.Detector,
        intake: intake.Intake,
        outbox: outbox.Outbox,
        seeds: list[str],
        rng: rngs.Rng,
    ) -> None:
        self._known = knowledge
        self._detector = detector
        self._intake = intake
        self._outbox = outbox
        self._seeds = seeds
        self._rng = rng
        self._contact_at = 0.0
        self._failed_at_by_id: dict[str, float] = {}

    def tick(self) -> None:
        """Make the calls that are due."""
        now = self._outbox.now
        if not self._known.is_in_touch(now):
            self._detector.postpone(now)
        for death in self._detector.expired(now):
            self._intake.take_host(death, push=True, is_own=True)
        target = self._detector.next_target(now)
        if target is not None:
            purpose = calls.Probe(target_id=target.id)
            timeout = self._detector.direct_timeout
            self._outbox.call(purpose, target, timeout=timeout)
        if now >= self._contact_at:
            self._contact_at = now + CONTACT_PERIOD_S * self._rng.uniform(0.9, 1.1)
            self._contact_zones()
            self._contact_silent()
            self._contact_seed()

    def on_answered(
        self, purpose: calls.Probe | calls.RelayedProbe, answer: membership.Exchange
    ) -> None:
        """Take in the answer to a probe."""
        if answer.sender.id == purpose.target_id:
            self._detector.note_answer(purpose.target_id)
        else:
            # Another host has taken over the address.
            self._suspect(self._detector.suspect(purpose.target_id))

    def on_probe_failed(self, purpose: calls.Probe) -> None:
        """Have other hosts pass on a probe that went unanswered."""
        if not self._detector.is_waiting_for(purpose.target_id):
            return
        target = self._known.hosts.get(purpose.target_id)
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
        """Suspect a target that no relay reached either."""
        self._suspect(self._detector.note_relay_failed(purpose.target_id))

    def on_contact_failed(self, purpose: calls.Contact) -> None:
        """Turn to other hosts of a zone for a while."""
        self._failed_at_by_id[purpose.host_id] = self._outbox.now

    def _suspect(self, suspicion: membership.HostRecord | None) -> None:
        if suspicion is not None:
            # Other zones need not hear of it: it is refuted or confirmed here.
            self._intake.take_host(suspicion, push=True)

    def _contact_zones(self) -> None:
        near = len(self._known.hosts.live_ids(self._known.own_zone))
        for zone in self._known.hosts.zones:
            if zone == self._known.own_zone:
                continue
            if self._rng.random() < ZONE_CONTACTS / near:
                self._contact(f"zone {zone}", self._rng.choice(self._promising(zone)))

    def _promising(self, zone: str) -> list[membership.HostRecord]:
        """Return partners in a zone that did not fail lately, else any hosts.

        A zone's dead hosts stay listed elsewhere until a live one of it says
        so; to come upon the live one by chance could take too long.
        """
        since = self._outbox.now - AVOID_FAILED_S
        self._failed_at_by_id = {
            host_id: failed_at
            for host_id, failed_at in self._failed_at_by_id.items()
            if failed_at >= since
        }
        hosts = self._known.hosts.others(zone)
        partner_ids = self._known.hosts.partner_ids(zone)
        untried = [each for each in hosts if each.id not in self._failed_at_by_id]
        return [each for each in untried if each.id in partner_ids] or untried or hosts

    def _contact_silent(self) -> None:
        silent = self._known.hosts.silent()
        if silent:
            self._contact("silent", self._rng.choice(silent))

    def _contact_seed(self) -> None:
        if not self._seeds:
            return
        live = {
            record.address
            for record in self._known.hosts.records_by_id.values()
            if record.is_live
        }
        missing = [seed for seed in self._seeds if seed not in live]
        if missing:
            self._contact("seed", self._rng.choice(missing))

    def _contact(self, slot: str, host: membership.HostRecord | str) -> None:
        host_id = host.id if isinstance(host, membership.HostRecord) else host
        purpose = calls.Contact(slot=slot, host_id=host_id)
        if not self._outbox.is_under_way(purpose):
            self._outbox.call(purpose, host)
