"""Several entry hosts on one manual clock, with recorders and shared upstreams."""

import msgspec

from fakes import core as fake_core
from greengagehaven import clock
from greengagehaven.coordination import events
from greengagehaven.coordination.idempotency import recorder
from greengagehaven.protocol import upstream

RECORDER_IDS = frozenset({"c-1", "c-2", "c-3"})


class Hosts:
    """Entry hosts h-1, h-2 ... that reach each other unless partitioned.

    ``on_sent`` is called for each sub-request in the place of an upstream;
    ``sent_sub_requests`` lists all sub-requests that were sent.
    """

    def __init__(self, *, count: int, on_sent=None, document_text=fake_core.DOCUMENT):
        self.clock = clock.ManualClock()
        self.document_text = document_text
        self.on_sent = on_sent or (lambda host_id, sub_request: None)
        self.sent_sub_requests: list[upstream.SubRequest] = []
        self.isolated_host_ids: set[str] = set()
        self.recorders_by_id = {
            recorder_id: recorder.Recorder(
                clock=self.clock,
                recorder_id=recorder_id,
                recorder_ids=RECORDER_IDS,
                incarnation=1,
                has_complete_state=True,
            )
            for recorder_id in sorted(RECORDER_IDS)
        }
        self.announcements: tuple[upstream.Announcement, ...] = ()
        self.hosts_by_id: dict[str, fake_core.CoreHarness] = {}
        for number in range(count):
            self.start(f"h-{number + 1}")

    def start(self, host_id: str) -> None:
        """Start a host, or restart it with empty memory."""
        self.hosts_by_id[host_id] = fake_core.CoreHarness(
            host_id=host_id,
            recorder_ids=RECORDER_IDS,
            shared_clock=self.clock,
            document_text=self.document_text,
        )
        if self.announcements:
            self.hosts_by_id[host_id].apply_announcements(*self.announcements)

    def announce_upstreams(self, *announcements: upstream.Announcement) -> None:
        """Announce upstreams to every host."""
        self.announcements = announcements
        for tier in self.hosts_by_id.values():
            tier.apply_announcements(*announcements)

    def submit(self, host_id: str, request_id: str, **fields: object) -> None:
        """Submit a query through a host, without delivering messages."""
        self.hosts_by_id[host_id].submit(request_id, **fields)

    def advance(self, seconds: float) -> None:
        """Advance the clock of all hosts in steps of 1 ms."""
        for _ in range(round(seconds * 1000)):
            self.clock.advance(0.001)
            for tier in self.hosts_by_id.values():
                due = [
                    wake for wake in tier.timer_times if wake <= self.clock.monotonic()
                ]
                if due:
                    tier.timer_times = [
                        wake for wake in tier.timer_times if wake not in due
                    ]
                    tier.step(events.TimeReached())
            self.deliver_messages()

    def deliver_messages(self) -> None:
        """Deliver messages and sub-requests until none is pending."""
        has_delivered = True
        while has_delivered:
            has_delivered = False
            for host_id, tier in list(self.hosts_by_id.items()):
                has_delivered |= self._deliver_recorder_requests(host_id, tier)
                has_delivered |= self._deliver_notices(host_id, tier)
                has_delivered |= self._deliver_sub_requests(host_id, tier)

    def can_reach(self, one: str, other: str) -> bool:
        """Return whether two hosts reach each other."""
        return (one in self.isolated_host_ids) == (other in self.isolated_host_ids)

    def _deliver_recorder_requests(
        self, host_id: str, tier: fake_core.CoreHarness
    ) -> bool:
        requests, tier.recorder_requests = tier.recorder_requests, []
        for request in requests:
            reply = None
            if self.can_reach(host_id, request.recorder_id):
                reply, _ = self.recorders_by_id[request.recorder_id].handle(
                    request.request
                )
            tier.step(
                events.RecorderReplied(
                    recorder_id=request.recorder_id,
                    request=request.request,
                    reply=reply,
                )
            )
        return bool(requests)

    def _deliver_notices(self, host_id: str, tier: fake_core.CoreHarness) -> bool:
        sent, tier.notices = tier.notices, []
        for notice in sent:
            data = msgspec.msgpack.encode(notice.payload)
            payload = msgspec.msgpack.decode(data, type=type(notice.payload))
            for other_id, other in self.hosts_by_id.items():
                if other_id != host_id and self.can_reach(host_id, other_id):
                    other.step(events.PeerNotice(host_id=host_id, payload=payload))
        return bool(sent)

    def _deliver_sub_requests(self, host_id: str, tier: fake_core.CoreHarness) -> bool:
        sent, tier.sent = tier.sent, []
        for sub_request in sent:
            self.sent_sub_requests.append(sub_request)
            self.on_sent(host_id, sub_request)
        return bool(sent)
