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
    ``runs`` lists all sub-requests that were sent.
    """

    def __init__(self, *, count: int, on_sent=None, document_text=fake_core.DOCUMENT):
        self.clock = clock.ManualClock()
        self.document_text = document_text
        self.on_sent = on_sent or (lambda host_id, sub_request: None)
        self.runs: list[upstream.SubRequest] = []
        self.cut_off: set[str] = set()
        self.recorders_by_id = {
            recorder_id: recorder.Recorder(
                clock=self.clock,
                recorder_id=recorder_id,
                recorder_ids=RECORDER_IDS,
                incarnation=1,
                has_memory=True,
            )
            for recorder_id in sorted(RECORDER_IDS)
        }
        self.announcements: tuple[upstream.Announcement, ...] = ()
        self.tiers_by_id: dict[str, fake_core.FakeTier] = {}
        for number in range(count):
            self.start(f"h-{number + 1}")

    def start(self, host_id: str) -> None:
        """Start a host, or restart it with empty memory."""
        self.tiers_by_id[host_id] = fake_core.FakeTier(
            host_id=host_id,
            recorder_ids=RECORDER_IDS,
            shared_clock=self.clock,
            document_text=self.document_text,
        )
        if self.announcements:
            self.tiers_by_id[host_id].put(*self.announcements)

    def put(self, *announcements: upstream.Announcement) -> None:
        """Announce upstreams to every host."""
        self.announcements = announcements
        for tier in self.tiers_by_id.values():
            tier.put(*announcements)

    def submit(self, host_id: str, request_id: str, **fields: object) -> None:
        """Submit a query through a host, without delivering messages."""
        self.tiers_by_id[host_id].submit(request_id, **fields)

    def advance(self, seconds: float) -> None:
        """Advance the clock of all hosts in steps of 1 ms."""
        for _ in range(round(seconds * 1000)):
            self.clock.advance(0.001)
            for tier in self.tiers_by_id.values():
                due = [wake for wake in tier.wakes if wake <= self.clock.monotonic()]
                if due:
                    tier.wakes = [wake for wake in tier.wakes if wake not in due]
                    tier.step(events.TimeReached())
            self.carry()

    def carry(self) -> None:
        """Deliver messages and sub-requests until none is pending."""
        has_delivered = True
        while has_delivered:
            has_delivered = False
            for host_id, tier in list(self.tiers_by_id.items()):
                has_delivered |= self._deliver_recorder_requests(host_id, tier)
                has_delivered |= self._deliver_notices(host_id, tier)
                has_delivered |= self._deliver_sub_requests(host_id, tier)

    def reach(self, one: str, other: str) -> bool:
        """Return whether two hosts reach each other."""
        return (one in self.cut_off) == (other in self.cut_off)

    def _deliver_recorder_requests(
        self, host_id: str, tier: fake_core.FakeTier
    ) -> bool:
        asks, tier.asks = tier.asks, []
        for ask in asks:
            reply = None
            if self.reach(host_id, ask.recorder_id):
                reply, _ = self.recorders_by_id[ask.recorder_id].handle(ask.request)
            tier.step(
                events.RecorderReplied(
                    recorder_id=ask.recorder_id, request=ask.request, reply=reply
                )
            )
        return bool(asks)

    def _deliver_notices(self, host_id: str, tier: fake_core.FakeTier) -> bool:
        sent, tier.notices = tier.notices, []
        for notice in sent:
            data = msgspec.msgpack.encode(notice.payload)
            payload = msgspec.msgpack.decode(data, type=type(notice.payload))
            for other_id, other in self.tiers_by_id.items():
                if other_id != host_id and self.reach(host_id, other_id):
                    other.step(events.PeerNotice(host_id=host_id, payload=payload))
        return bool(sent)

    def _deliver_sub_requests(self, host_id: str, tier: fake_core.FakeTier) -> bool:
        sent, tier.sent = tier.sent, []
        for sub_request in sent:
            self.runs.append(sub_request)
            self.on_sent(host_id, sub_request)
        return bool(sent)
