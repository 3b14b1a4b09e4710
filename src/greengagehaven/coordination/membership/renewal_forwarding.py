"""Forwarding of lease renewals to the home hosts of upstreams."""

from greengagehaven.coordination.membership import (
    calls,
    cluster_view,
    homes,
    leases,
    outbox,
)
from greengagehaven.protocol import membership

FLUSH_INTERVAL_S = 0.25
MAX_ATTEMPTS = 3


class RenewalForwarder:
    """Batches renewals by home host and sends them.

    :param leases: where received renewals are applied.
    """

    def __init__(
        self,
        *,
        view: cluster_view.ClusterView,
        leases: leases.Leases,
        outbox: outbox.Outbox,
    ) -> None:
        self._view = view
        self._leases = leases
        self._outbox = outbox
        self._pending_by_home: dict[str, dict[str, membership.Renewal]] = {}
        self._busy_home_ids: set[str] = set()
        self._flush_at = 0.0

    def add(self, renewal: membership.Renewal) -> None:
        """Apply a renewal received from an upstream and queue it for its home host."""
        self._apply(renewal)
        home_id = self._home_of(renewal.id, ())
        if home_id is not None and home_id != self._view.hosts.own.id:
            pending = self._pending_by_home.setdefault(home_id, {})
            pending[renewal.id] = renewal

    def receive(self, exchange: membership.Exchange) -> tuple[str, ...]:
        """Apply renewals that another host sent.

        If this host is not the home of an upstream in its own view, the sender could
        not reach the home host, and the renewal is relayed to it once.

        :return: ids of unknown upstreams.
        """
        own_id = self._view.hosts.own.id
        relayed_by_home: dict[str, list[membership.Renewal]] = {}
        unknown = []
        for renewal in exchange.renewals:
            if self._view.upstreams.get(renewal.id) is None:
                unknown.append(renewal.id)
                continue
            self._apply(renewal)
            home_id = self._home_of(renewal.id, ())
            if home_id is not None and home_id != own_id and not exchange.is_relayed:
                relayed_by_home.setdefault(home_id, []).append(renewal)
        for home_id, renewals in relayed_by_home.items():
            self._forward(home_id, tuple(renewals), tried_ids=None)
        return tuple(unknown)

    def tick(self) -> None:
        """Send the queued renewals when the flush is due."""
        if self._outbox.now < self._flush_at:
            return
        self._flush_at = self._outbox.now + FLUSH_INTERVAL_S
        for home_id in [*self._pending_by_home]:
            # One call at a time per home host, so that a slow one receives fewer
            # and larger calls instead of more calls.
            if home_id not in self._busy_home_ids:
                renewals_by_id = self._pending_by_home.pop(home_id)
                self._busy_home_ids.add(home_id)
                self._forward(home_id, tuple(renewals_by_id.values()), tried_ids=())

    def on_answered(
        self, purpose: calls.ForwardRenewals, answer: membership.Exchange
    ) -> None:
        """Allow the next call to a home host."""
        if purpose.tried_ids == ():
            self._busy_home_ids.discard(purpose.home_id)

    def on_failed(self, purpose: calls.ForwardRenewals) -> None:
        """Send the renewals to the next hosts in rendezvous order.

        If the home host is dead, these are its successors. If only the link to it
        failed, they relay the renewals.
        """
        if purpose.tried_ids is None:
            return
        if not purpose.tried_ids:
            self._busy_home_ids.discard(purpose.home_id)
        tried_ids = (*purpose.tried_ids, purpose.home_id)
        if len(tried_ids) >= MAX_ATTEMPTS:
            return
        renewals_by_home: dict[str, list[membership.Renewal]] = {}
        for renewal in purpose.renewals:
            home_id = self._home_of(renewal.id, tried_ids)
            if home_id is not None and home_id != self._view.hosts.own.id:
                renewals_by_home.setdefault(home_id, []).append(renewal)
        for home_id, renewals in renewals_by_home.items():
            self._forward(home_id, tuple(renewals), tried_ids=tried_ids)

    def _apply(self, renewal: membership.Renewal) -> None:
        is_newer = self._leases.renew(renewal, self._outbox.now)
        if is_newer and not self._view.upstreams.is_served(renewal.id):
            self._view.update_serving(renewal.id, self._outbox.now)

    def _home_of(self, upstream_id: str, tried_ids: tuple[str, ...]) -> str | None:
        record = self._view.upstreams.get(upstream_id)
        if record is None or record.is_gone:
            return None
        if record.zone == self._view.own_zone and not tried_ids:
            return self._view.homes.home_host_id(upstream_id)
        candidates = self._view.hosts.live_ids(record.zone) - set(tried_ids)
        return homes.home_of(upstream_id, candidates) if candidates else None

    def _forward(
        self,
        home_id: str,
        renewals: tuple[membership.Renewal, ...],
        *,
        tried_ids: tuple[str, ...] | None,
    ) -> None:
        home = self._view.hosts.get(home_id)
        if home is None:
            self._busy_home_ids.discard(home_id)
            return
        is_relayed = tried_ids is None
        message = self._outbox.compose(
            home_id, with_zone_digests=False, renewals=renewals, is_relayed=is_relayed
        )
        purpose = calls.ForwardRenewals(
            home_id=home_id, renewals=renewals, tried_ids=tried_ids
        )
        self._outbox.call(purpose, home, message)
