"""Generates requests to a router and simulates the upstreams that serve them."""

import heapq
import itertools

from greengagehaven.coordination.routing import events


class NetworkLink:
    """The network link of a host, which transfers one reply at a time.

    :param size: bytes per reply.
    :param rate: bytes per second.
    """

    def __init__(self, *, size, rate):
        self.size = size
        self._transfer_s = size / rate
        self._free_at = 0.0

    def transfer(self, moment):
        """Return when a reply that reaches the link at ``moment`` is received."""
        self._free_at = max(moment, self._free_at) + self._transfer_s
        return self._free_at


class Load:
    """Requests that arrive at a fixed interval, and upstreams that serve them.

    :param tier: the router under test.
    :param work_of: returns the seconds that a send takes at its upstream, or
        ``None`` for no reply.
    :param link: link that transfers the replies, ``None`` for unlimited bandwidth.
    """

    def __init__(self, *, tier, work_of, link=None):
        self.tier = tier
        self.reply_time_of = work_of
        self.link = link
        self.started_by_number = {}
        self.latencies = []
        self.partial = 0
        self.refused = 0
        self.sends = []
        self._scheduled_replies = []
        self._sequence = itertools.count()
        self._seen_count = len(tier.sent)
        self._ended_numbers = set()
        self._transferred_attempts = set()
        self._skipped_attempts = set()

    @property
    def now(self):
        return self.tier.clock.monotonic()

    def run(self, *, count, gap_s, path="/sweep/1", drain_s=0.0):
        """Send requests ``gap_s`` apart, then run for another ``drain_s``."""
        for _ in range(count):
            number = self.tier.request(path)
            self.started_by_number[number] = self.now
            self.run_until(self.now + gap_s)
        self.run_until(self.now + drain_s)

    def exclude(self, send):
        """Exclude a send from the simulation; the test replies to it."""
        self._skipped_attempts.add(send.attempt)

    def run_until(self, end):
        """Advance the clock and deliver due replies in order."""
        self._schedule_new_sends()
        while True:
            timer_at = self.tier.wake_at
            reply_at = self._scheduled_replies[0][0] if self._scheduled_replies else end
            moment = min(end, reply_at, end if timer_at is None else timer_at)
            self.tier.advance_clock(max(0.0, moment - self.now))
            while self._scheduled_replies and self._scheduled_replies[0][0] <= self.now:
                _, _, send = heapq.heappop(self._scheduled_replies)
                if (
                    self.link is not None
                    and send.attempt not in self._transferred_attempts
                ):
                    self._transferred_attempts.add(send.attempt)
                    self._schedule_reply(send, self.link.transfer(self.now))
                    continue
                self.tier.answer_attempt(send, size=self.link.size if self.link else 0)
            self._schedule_new_sends()
            self._record_outcomes()
            if self.now >= end:
                return

    def _schedule_new_sends(self):
        for send in self.tier.sent[self._seen_count :]:
            if send.attempt in self._skipped_attempts:
                continue
            self.sends.append((self.now, send))
            duration = self.reply_time_of(send, self.now)
            if duration is not None:
                self._schedule_reply(send, self.now + duration)
        self._seen_count = len(self.tier.sent)

    def _schedule_reply(self, send, moment):
        heapq.heappush(self._scheduled_replies, (moment, next(self._sequence), send))

    def _record_outcomes(self):
        for number, outcome in self.tier.final_actions_by_number.items():
            if number in self._ended_numbers or number not in self.started_by_number:
                continue
            self._ended_numbers.add(number)
            self.latencies.append(self.now - self.started_by_number[number])
            self.refused += isinstance(outcome, events.Refuse)
            if isinstance(outcome, events.AnswerParts):
                self.partial += bool(outcome.missing)

    def fraction_within(self, seconds):
        """Return the fraction of requests that ended within ``seconds``."""
        return sum(each <= seconds for each in self.latencies) / len(self.latencies)
