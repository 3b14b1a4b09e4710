"""Plays a load against a router: upstreams that reply after the time they take."""

import heapq
import itertools

from greengagehaven.coordination.routing import events


class Link:
    """A host's own link: replies come over it one after the other.

    :param size: bytes of a reply.
    :param rate: bytes a second.
    """

    def __init__(self, *, size, rate):
        self.size = size
        self._seconds = size / rate
        self._free_at = 0.0

    def carry(self, moment):
        """Return when a reply is in that reaches the link at a moment."""
        self._free_at = max(moment, self._free_at) + self._seconds
        return self._free_at


class Load:
    """Requests that arrive apart, and upstreams that work on them.

    :param tier: the router that is played against.
    :param work_of: gives the seconds that a send takes at its upstream, ``None``
        where no reply comes.
    :param link: that replies come over, ``None`` for one without bounds.
    """

    def __init__(self, *, tier, work_of, link=None):
        self.tier = tier
        self.work_of = work_of
        self.link = link
        self.started_by_number = {}
        self.latencies = []
        self.partial = 0
        self.refused = 0
        self.sends = []
        self._due = []
        self._order = itertools.count()
        self._seen = len(tier.sent)
        self._ended = set()
        self._carried = set()
        self._skipped = set()

    @property
    def now(self):
        return self.tier.clock.monotonic()

    def play(self, *, count, gap_s, path="/sweep/1", rest_s=0.0):
        """Let requests arrive one gap apart; ``rest_s`` more for the last ones."""
        for _ in range(count):
            number = self.tier.request(path)
            self.started_by_number[number] = self.now
            self.run_until(self.now + gap_s)
        self.run_until(self.now + rest_s)

    def skip(self, send):
        """Leave a send to who replies to it."""
        self._skipped.add(send.attempt)

    def run_until(self, end):
        """Reply to what is due, in order, while time passes."""
        self._take_sends()
        while True:
            wakes = self.tier.wake_at
            due = self._due[0][0] if self._due else end
            moment = min(end, due, end if wakes is None else wakes)
            self.tier.pass_time(max(0.0, moment - self.now))
            while self._due and self._due[0][0] <= self.now:
                _, _, send = heapq.heappop(self._due)
                if self.link is not None and send.attempt not in self._carried:
                    self._carried.add(send.attempt)
                    self._expect(send, self.link.carry(self.now))
                    continue
                self.tier.reply(send, size=self.link.size if self.link else 0)
            self._take_sends()
            self._take_endings()
            if self.now >= end:
                return

    def _take_sends(self):
        for send in self.tier.sent[self._seen :]:
            if send.attempt in self._skipped:
                continue
            self.sends.append((self.now, send))
            work = self.work_of(send, self.now)
            if work is not None:
                self._expect(send, self.now + work)
        self._seen = len(self.tier.sent)

    def _expect(self, send, moment):
        heapq.heappush(self._due, (moment, next(self._order), send))

    def _take_endings(self):
        for number, ending in self.tier.endings_by_number.items():
            if number in self._ended or number not in self.started_by_number:
                continue
            self._ended.add(number)
            self.latencies.append(self.now - self.started_by_number[number])
            self.refused += isinstance(ending, events.Refuse)
            if isinstance(ending, events.AnswerParts):
                self.partial += bool(ending.missing)

    def share_within(self, seconds):
        """Return the share of the requests that were answered within a time."""
        return sum(each <= seconds for each in self.latencies) / len(self.latencies)
