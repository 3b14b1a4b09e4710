"""Delivery of query-path notices, once on every live host."""

from greengagehaven import rng as rngs
from greengagehaven.coordination.membership import (
    calls,
    cluster_view,
    core_events,
    outbox,
)
from greengagehaven.protocol import membership

MAX_SEEN_NOTICES = 8192
MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.25
MIN_REPORT_DELAY_S = 0.05
MAX_REPORT_DELAY_S = 0.25
# With up to this many other hosts, a notice is sent to each directly; with more,
# it is gossiped to ``GOSSIP_FAN_OUT`` hosts at a time.
MAX_DIRECT_HOSTS = 16
GOSSIP_FAN_OUT = 4


class NoticeDelivery:
    """Sends this host's notices and delivers each received notice once.

    The keys of the last ``MAX_SEEN_NOTICES`` notices are kept to detect duplicates.
    """

    def __init__(
        self, *, view: cluster_view.ClusterView, outbox: outbox.Outbox, rng: rngs.Rng
    ) -> None:
        self._view = view
        self._outbox = outbox
        self._rng = rng
        self._last_number = 0
        self._seen_keys: dict[tuple[str, int, int], None] = {}
        self._retries: list[tuple[float, calls.SendNotices]] = []
        self._report: membership.Notice | None = None
        self._report_recipient_ids: set[str] = set()
        self._report_at = 0.0

    def post(self, payload: bytes) -> None:
        """Send a notice to all other live hosts at once."""
        self._broadcast(self._create_notice(payload))

    def post_report(self, payload: bytes) -> None:
        """Send a report to all other live hosts soon, replacing the previous one.

        The delay allows replies to incoming calls to carry the report, so that two
        hosts that report to each other need one call instead of two.
        """
        if not self._report_recipient_ids:
            delay = self._rng.uniform(MIN_REPORT_DELAY_S, MAX_REPORT_DELAY_S)
            self._report_at = self._outbox.now + delay
        self._report = self._create_notice(payload)
        self._report_recipient_ids = {host.id for host in self._other_hosts()}

    def take_report_for(self, host_id: str) -> tuple[membership.Notice, ...]:
        """Return the report if a host has not received it yet, for use in a reply."""
        if self._report is None or host_id not in self._report_recipient_ids:
            return ()
        self._report_recipient_ids.discard(host_id)
        return (self._report,)

    def deliver(self, notices: tuple[membership.Notice, ...]) -> None:
        """Deliver the notices that were not seen before.

        In clusters of more than ``MAX_DIRECT_HOSTS`` other hosts they are gossiped on.
        """
        for notice in notices:
            if not self._mark_seen(notice):
                continue
            action = core_events.DeliverNotice(
                host_id=notice.host_id, payload=notice.payload
            )
            self._outbox.add(action)
            if len(self._other_hosts()) > MAX_DIRECT_HOSTS:
                self._broadcast(notice)

    def tick(self) -> None:
        """Send the report and retry failed notices when they are due."""
        now = self._outbox.now
        if self._report_recipient_ids and now >= self._report_at:
            self._send_report()
        due = [pending for due_at, pending in self._retries if due_at <= now]
        self._retries = [retry for retry in self._retries if retry[0] > now]
        for pending in due:
            self._send(pending)

    def on_failed(self, purpose: calls.SendNotices) -> None:
        """Schedule a retry, unless ``MAX_ATTEMPTS`` attempts were made."""
        if purpose.attempts < MAX_ATTEMPTS:
            self._retries.append((self._outbox.now + RETRY_DELAY_S, purpose))

    def _send_report(self) -> None:
        assert self._report is not None
        host_ids, self._report_recipient_ids = sorted(self._report_recipient_ids), set()
        if len(host_ids) > MAX_DIRECT_HOSTS:
            host_ids = self._rng.sample(host_ids, GOSSIP_FAN_OUT)
        for host_id in host_ids:
            # No retry, as the next report is sent sooner.
            pending = calls.SendNotices(
                host_id=host_id, notices=(self._report,), attempts=MAX_ATTEMPTS
            )
            self._send(pending)

    def _create_notice(self, payload: bytes) -> membership.Notice:
        self._last_number += 1
        own = self._view.hosts.own
        notice = membership.Notice(
            host_id=own.id,
            incarnation=own.incarnation,
            number=self._last_number,
            payload=payload,
        )
        self._mark_seen(notice)
        return notice

    def _broadcast(self, notice: membership.Notice) -> None:
        others = self._other_hosts()
        if len(others) > MAX_DIRECT_HOSTS:
            others = self._rng.sample(others, GOSSIP_FAN_OUT)
        for host in others:
            pending = calls.SendNotices(host_id=host.id, notices=(notice,), attempts=0)
            self._send(pending)

    def _send(self, pending: calls.SendNotices) -> None:
        host = self._view.hosts.get(pending.host_id)
        if host is None or not host.is_live:
            return
        message = self._outbox.compose_plain(host.id, notices=pending.notices)
        attempt = calls.SendNotices(
            host_id=host.id, notices=pending.notices, attempts=pending.attempts + 1
        )
        self._outbox.call(attempt, host, message)

    def _other_hosts(self) -> list[membership.HostRecord]:
        return [
            record
            for zone in self._view.hosts.zones
            for record in self._view.hosts.others(zone)
        ]

    def _mark_seen(self, notice: membership.Notice) -> bool:
        if notice.key in self._seen_keys:
            return False
        self._seen_keys[notice.key] = None
        if len(self._seen_keys) > MAX_SEEN_NOTICES:
            del self._seen_keys[next(iter(self._seen_keys))]
        return True
