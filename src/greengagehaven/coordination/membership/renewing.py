"""Renewals on their way to the hosts that keep the leases."""

from greengagehaven.coordination.membership import (
    calls,
    homes,
    knowledge,
    leases,
    outbox,
)
from greengagehaven.protocol import membership

FLUSH_INTERVAL_S = 0.25
MAX_TRIES = 3


class Renewing:
    """Gathers renewals by home host and sends them together.

    :param leases: where renewals that arrive here are kept.
    """

    def __init__(
        self,
        *,
        knowledge: knowledge.Knowledge,
        leases: leases.Leases,
        outbox: outbox.Outbox,
    ) -> None:
        self._known = knowledge
        self._leases = leases
        self._outbox = outbox
        self._renewals_by_home: dict[str, dict[str, membership.Renewal]] = {}
        self._busy_home_ids: set[str] = set()
        self._flush_at = 0.0

    def add(self, renewal: membership.Renewal) -> None:
        """Take in an upstream's own renewal and send it on its way."""
        self._keep(renewal)
        home_id = self._home_of(renewal.id, ())
        if home_id is not None and home_id != self._known.hosts.own.id:
            waiting = self._renewals_by_home.setdefault(home_id, {})
            waiting[renewal.id] = renewal

    def take(self, exchange: membership.Exchange) -> tuple[str, ...]:
        """Take in renewals that another host sent.

        Where this host is not their home in its own view, the sender could
        not reach the home, and they are passed on once.

        :return: ids that are not known here.
        """
        own_id = self._known.hosts.own.id
        relayed_by_home: dict[str, list[membership.Renewal]] = {}
        unknown = []
        for renewal in exchange.renewals:
            if self._known.upstreams.get(renewal.id) is None:
                unknown.append(renewal.id)
                continue
            self._keep(renewal)
            home_id = self._home_of(renewal.id, ())
            if home_id is not None and home_id != own_id and not exchange.is_relayed:
                relayed_by_home.setdefault(home_id, []).append(renewal)
        for home_id, renewals in relayed_by_home.items():
            self._forward(home_id, tuple(renewals), tried_ids=None)
        return tuple(unknown)

    def tick(self) -> None:
        """Send what has gathered."""
        if self._outbox.now < self._flush_at:
            return
        self._flush_at = self._outbox.now + FLUSH_INTERVAL_S
        for home_id in [*self._renewals_by_home]:
            # One call at a time to each: a home that is slow gets fewer and
            # larger calls, not more of them.
            if home_id not in self._busy_home_ids:
                renewals_by_id = self._renewals_by_home.pop(home_id)
                self._busy_home_ids.add(home_id)
                self._forward(home_id, tuple(renewals_by_id.values()), tried_ids=())

    def on_answered(self, purpose: calls.Forward, answer: membership.Exchange) -> None:
        """Let the next renewals go to a home host."""
        if purpose.tried_ids == ():
            self._busy_home_ids.discard(purpose.home_id)

    def on_failed(self, purpose: calls.Forward) -> None:
        """Send renewals to the hosts that would be next to keep the leases.

        If the home host died, these are its successors; if only the way to it
        is cut, they pass the renewals on.
        """
        if purpose.tried_ids is None:
            return
        if not purpose.tried_ids:
            self._busy_home_ids.discard(purpose.home_id)
        tried_ids = (*purpose.tried_ids, purpose.home_id)
        if len(tried_ids) >= MAX_TRIES:
            return
        renewals_by_home: dict[str, list[membership.Renewal]] = {}
        for renewal in purpose.renewals:
            home_id = self._home_of(renewal.id, tried_ids)
            if home_id is not None and home_id != self._known.hosts.own.id:
                renewals_by_home.setdefault(home_id, []).append(renewal)
        for home_id, renewals in renewals_by_home.items():
            self._forward(home_id, tuple(renewals), tried_ids=tried_ids)

    def _keep(self, renewal: membership.Renewal) -> None:
        is_news = self._leases.renew(renewal, self._outbox.now)
        if is_news and not self._known.upstreams.is_served(renewal.id):
            self._known.evaluate(renewal.id, self._outbox.now)

    def _home_of(self, upstream_id: str, tried_ids: tuple[str, ...]) -> str | None:
        record = self._known.upstreams.get(upstream_id)
        if record is None or record.is_gone:
            return None
        if record.zone == self._known.own_zone and not tried_ids:
            return self._known.homes.home(upstream_id)
        candidates = self._known.hosts.live_ids(record.zone) - set(tried_ids)
        return homes.home_of(upstream_id, candidates) if candidates else None

    def _forward(
        self,
        home_id: str,
        renewals: tuple[membership.Renewal, ...],
        *,
        tried_ids: tuple[str, ...] | None,
    ) -> None:
        home = self._known.hosts.get(home_id)
        if home is None:
            self._busy_home_ids.discard(home_id)
            return
        is_relayed = tried_ids is None
        message = self._outbox.compose(
            home_id, marked=False, renewals=renewals, is_relayed=is_relayed
        )
        purpose = calls.Forward(home_id=home_id, renewals=renewals, tried_ids=tried_ids)
        self._outbox.call(purpose, home, message)
