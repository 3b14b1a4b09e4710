"""Notices of the query path: each is delivered once on every live host."""

from greengagehaven import rng as rngs
from greengagehaven.coordination.membership import calls, knowledge, outbox, signals
from greengagehaven.protocol import membership

MAX_REMEMBERED = 8192
MAX_ATTEMPTS = 4
RETRY_AFTER_S = 0.25
MIN_REPORT_DELAY_S = 0.05
MAX_REPORT_DELAY_S = 0.25
# Up to this many hosts a notice goes to each directly; beyond, it is passed on
# from host to host.
DIRECT_HOSTS = 16
FAN_OUT = 4


class Telling:
    """Sends own notices, and delivers each notice of others once."""

    def __init__(
        self, *, knowledge: knowledge.Knowledge, outbox: outbox.Outbox, rng: rngs.Rng
    ) -> None:
        self._known = knowledge
        self._outbox = outbox
        self._rng = rng
        self._number = 0
        self._seen: dict[tuple[str, int, int], None] = {}
        self._retries: list[tuple[float, calls.Tell]] = []
        self._report: membership.Notice | None = None
        self._reported_to_ids: set[str] = set()
        self._report_at = 0.0

    def post(self, payload: bytes) -> None:
        """Tell all other live hosts, at once."""
        self._spread(self._make(payload))

    def post_report(self, payload: bytes) -> None:
        """Tell all other live hosts soon; a later report replaces this one.

        It waits for a moment, as answers to the others' calls may carry it: two
        hosts that report to each other then need one call for both.
        """
        if not self._reported_to_ids:
            delay = self._rng.uniform(MIN_REPORT_DELAY_S, MAX_REPORT_DELAY_S)
            self._report_at = self._outbox.now + delay
        self._report = self._make(payload)
        self._reported_to_ids = {host.id for host in self._others()}

    def report_for(self, host_id: str) -> tuple[membership.Notice, ...]:
        """Return the report that a host has not got yet; it goes with an answer."""
        if self._report is None or host_id not in self._reported_to_ids:
            return ()
        self._reported_to_ids.discard(host_id)
        return (self._report,)

    def take(self, notices: tuple[membership.Notice, ...]) -> None:
        """Deliver notices that were not seen before."""
        for notice in notices:
            if not self._is_new(notice):
                continue
            action = signals.NoticeReceived(
                host_id=notice.host_id, payload=notice.payload
            )
            self._outbox.add(action)
            if len(self._others()) > DIRECT_HOSTS:
                self._spread(notice)

    def tick(self) -> None:
        """Try again where a host did not take a notice."""
        now = self._outbox.now
        if self._reported_to_ids and now >= self._report_at:
            self._send_report()
        due = [tell for due_at, tell in self._retries if due_at <= now]
        self._retries = [retry for retry in self._retries if retry[0] > now]
        for tell in due:
            self._tell(tell)

    def on_failed(self, purpose: calls.Tell) -> None:
        """Keep a notice for another attempt, unless there were enough."""
        if purpose.attempts < MAX_ATTEMPTS:
            self._retries.append((self._outbox.now + RETRY_AFTER_S, purpose))

    def _send_report(self) -> None:
        assert self._report is not None
        host_ids, self._reported_to_ids = sorted(self._reported_to_ids), set()
        if len(host_ids) > DIRECT_HOSTS:
            host_ids = self._rng.sample(host_ids, FAN_OUT)
        for host_id in host_ids:
            # The next report comes before a retry would.
            tell = calls.Tell(
                host_id=host_id, notices=(self._report,), attempts=MAX_ATTEMPTS
            )
            self._tell(tell)

    def _make(self, payload: bytes) -> membership.Notice:
        self._number += 1
        own = self._known.hosts.own
        notice = membership.Notice(
            host_id=own.id,
            incarnation=own.incarnation,
            number=self._number,
            payload=payload,
        )
        self._is_new(notice)
        return notice

    def _spread(self, notice: membership.Notice) -> None:
        others = self._others()
        if len(others) > DIRECT_HOSTS:
            others = self._rng.sample(others, FAN_OUT)
        for host in others:
            tell = calls.Tell(host_id=host.id, notices=(notice,), attempts=0)
            self._tell(tell)

    def _tell(self, tell: calls.Tell) -> None:
        host = self._known.hosts.get(tell.host_id)
        if host is None or not host.is_live:
            return
        message = self._outbox.plain(host.id, notices=tell.notices)
        attempt = calls.Tell(
            host_id=host.id, notices=tell.notices, attempts=tell.attempts + 1
        )
        self._outbox.call(attempt, host, message)

    def _others(self) -> list[membership.HostRecord]:
        return [
            record
            for zone in self._known.hosts.zones
            for record in self._known.hosts.others(zone)
        ]

    def _is_new(self, notice: membership.Notice) -> bool:
        if notice.key in self._seen:
            return False
        self._seen[notice.key] = None
        if len(self._seen) > MAX_REMEMBERED:
            del self._seen[next(iter(self._seen))]
        return True
