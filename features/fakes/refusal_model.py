"""A router among simulated upstreams and helpers that record what was offered to them.

Each play is a random sequence of events. The oracle knows which attempts may have had a
byte written and which of them the upstream reported as not run.
"""

import collections
import dataclasses
import enum
import random

from fakes import routing
from greengagehaven import clock
from greengagehaven.coordination.routing import events, router
from greengagehaven.protocol import watching

SHARDS = tuple(f"shard-{number}" for number in range(36))
REPLICAS = 2
NOT_SENT = (events.Fault.CONNECT, events.Fault.CONNECTION_LIMIT, events.Fault.UNSENT)
SENT = (events.Fault.LOST, events.Fault.MALFORMED)
HELPER_ADDRESSES = ("h-1:1", "h-2:1")


class State(enum.Enum):
    """Progress of an attempt: waiting for a connection, sent, or ended."""

    WAITING = "waiting"
    SENT = "sent"
    ENDED = "ended"


@dataclasses.dataclass(kw_only=True, eq=False)
class Attempt:
    """One attempt as the transport sees it."""

    id: int
    number: int
    upstream_id: str
    call: "Call | None" = None
    state: State = State.WAITING
    is_released: bool = False


@dataclasses.dataclass(kw_only=True, eq=False)
class Call:
    """A call that delegates attempts to a helper."""

    address: str
    attempts: list[Attempt]
    is_sent: bool = False
    is_over: bool = False


class Play:
    """One random sequence of events.

    :param seed: of the sequence; the same seed repeats it.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = clock.ManualClock()
        options = router.Options(zone="a", host_id="h-0", retry_burst=40.0)
        self.router = router.Router(
            options=options, clock=self.clock, rng=random.Random(seed + 1)
        )
        self.clock.advance(30.0)
        self.attempts = {}
        self.calls = []
        self.probes = []
        self.checks = []
        self.loans = []
        self.wake_at = None
        self.next_number = 1
        # Attempts of a request with a byte written, less those reported as not run.
        self.offered = collections.Counter()
        # The same as far as this host can know: a call that was sent counts as well.
        self.maybe_offered = collections.Counter()
        self.endings = {}
        self.statuses = collections.Counter()
        self.violations = []
        self._start()

    def _start(self):
        services = [*SHARDS, "one"]
        self.step(
            events.EntryHostsChanged(
                hosts=tuple(
                    watching.HostEntry(id=address[:3], address=address)
                    for address in ("h-0:1", *HELPER_ADDRESSES)
                )
            )
        )
        table = routing.routing_table(
            1,
            routing.sweep_route(SHARDS, least_coverage=0.9),
            routing.single_route(("one", 1.0)),
            routing.single_route(("one", 1.0), is_idempotent=False, prefix="/once/"),
        )
        self.step(events.RoutingTableChanged(table=table))
        entries = [
            routing.upstream_entry(f"{service}-u{number}", service)
            for service in services
            for number in range(REPLICAS)
        ]
        self.step(events.UpstreamsChanged(entries=tuple(entries)))

    def run(self, length):
        """Play random events, then let all deadlines pass."""
        moves = (
            (self.arrive, 2),
            (self.send_waiting, 6),
            (self.end_attempt, 8),
            (self.advance_call, 4),
            (self.answer_probe, 2),
            (self.answer_check, 2),
            (self.answer_loan, 1),
            (self.silence, 1),
            (self.pass_time, 3),
            (self.abandon, 0.2),
        )
        names, weights = zip(*moves, strict=True)
        self.arrive()
        for _ in range(length):
            self.rng.choices(names, weights)[0]()
        self.advance(2.0)

    def step(self, event):
        for action in self.router.step(event):
            self.carry_out(action)

    def carry_out(self, action):
        match action:
            case events.Send():
                self.add(action, None)
            case events.Delegate():
                call = Call(address=action.address, attempts=[])
                self.calls.append(call)
                call.attempts = [self.add(send, call) for send in action.sends]
            case events.ReleaseAttempts(attempts=attempts):
                self.release([self.attempts[each] for each in attempts])
            case events.ProbeUpstream(upstream_id=upstream_id):
                self.probes.append(upstream_id)
            case events.CheckListener(attempt=attempt):
                self.checks.append(attempt)
            case events.RequestLoan():
                self.loans.append(action)
            case events.WakeAt(moment=moment):
                self.wake_at = moment
            case events.Refuse() | events.ForwardReply() | events.AnswerParts():
                self.record_ending(action)

    def add(self, send, call):
        attempt = Attempt(
            id=send.attempt,
            number=send.number,
            upstream_id=send.upstream_id,
            call=call,
        )
        self.attempts[attempt.id] = attempt
        return attempt

    def record_ending(self, action):
        assert action.number not in self.endings, "answered twice"
        self.endings[action.number] = action
        if not isinstance(action, events.Refuse):
            self.statuses["answered"] += 1
            return
        error = action.error
        self.statuses[error.status] += 1
        is_offered = self.maybe_offered[action.number] > 0
        if not is_offered and (error.status != 503 or not error.retry_after):
            self.violations.append(f"{error.code} although offered to no upstream")
        if error.status == 503 and self.offered[action.number] > 0:
            self.violations.append("503 although offered to an upstream")

    def write(self, attempt):
        """Write the first byte of an attempt to its upstream."""
        attempt.state = State.SENT
        self.offered[attempt.number] += 1
        if attempt.call is None:
            self.maybe_offered[attempt.number] += 1
        ending = self.endings.get(attempt.number)
        if isinstance(ending, events.Refuse) and ending.error.status == 503:
            self.violations.append("sent after its caller was told that it was not run")

    def release(self, attempts):
        for attempt in attempts:
            attempt.is_released = True
        unsent = events.Failed(fault=events.Fault.UNSENT)
        for attempt in attempts:
            is_call_unsent = attempt.call is None or not attempt.call.is_sent
            if attempt.state is State.WAITING and is_call_unsent:
                self.end(attempt, unsent)

    def is_open(self, attempt):
        return attempt.state is not State.ENDED

    def end(self, attempt, outcome):
        """End an attempt that this host sends itself, or withdraws from a call."""
        self.conclude(attempt, outcome)
        self.step(events.AttemptEnded(attempt=attempt.id, outcome=outcome))

    def conclude(self, attempt, outcome):
        """Record the outcome of an attempt as the upstream saw it."""
        was_sent = attempt.state is State.SENT
        attempt.state = State.ENDED
        is_not_run = isinstance(outcome, events.Replied) and (
            outcome.not_run or outcome.status == 421
        )
        if was_sent and is_not_run:
            self.offered[attempt.number] -= 1
        is_unsent = (
            isinstance(outcome, events.Failed) and outcome.fault in events.NOT_SENT
        )
        if attempt.call is not None and attempt.call.is_sent:
            if is_not_run or is_unsent:
                self.maybe_offered[attempt.number] -= 1
        elif attempt.call is None and was_sent and is_not_run:
            self.maybe_offered[attempt.number] -= 1

    def pick(self, attempts):
        attempts = list(attempts)
        return self.rng.choice(attempts) if attempts else None

    def arrive(self):
        number, self.next_number = self.next_number, self.next_number + 1
        path = self.rng.choice(("/sweep/1", "/single/1", "/once/1"))
        arrived = events.RequestArrived(
            number=number,
            request_id=f"r-{number}",
            host=routing.HOST,
            path=path,
            fingerprint=f"f-{number}",
            time_left=self.rng.choice((None, 0.2, 1.0)),
        )
        self.step(arrived)

    def abandon(self):
        number = self.rng.randrange(1, self.next_number)
        if number not in self.endings:
            self.step(events.RequestAbandoned(number=number))

    def send_waiting(self):
        attempt = self.pick(
            each
            for each in self.attempts.values()
            if each.call is None and each.state is State.WAITING
        )
        if attempt is None:
            return
        self.step(events.AttemptStarted(attempt=attempt.id))
        if self.rng.random() < 0.1:
            # The connection breaks before the first byte is written.
            self.end(attempt, events.Failed(fault=events.Fault.UNSENT))
        else:
            self.write(attempt)

    def end_attempt(self):
        attempt = self.pick(
            each
            for each in self.attempts.values()
            if each.call is None and self.is_open(each)
        )
        if attempt is not None:
            self.end(attempt, self.draw_outcome(attempt))

    def draw_outcome(self, attempt):
        if attempt.state is State.WAITING:
            return events.Failed(fault=self.rng.choice(NOT_SENT))
        if attempt.is_released and self.rng.random() < 0.5:
            return events.Failed(fault=events.Fault.CANCELLED)
        status, not_run = self.rng.choice(
            ((200, False), (200, False), (500, False), (503, True), (421, False))
        )
        if self.rng.random() < 0.3:
            return events.Failed(fault=self.rng.choice(SENT), received_nothing=True)
        is_merged = attempt.call is not None and status == 200
        return events.Replied(
            status=status,
            is_success=status == 200,
            not_run=not_run,
            is_merged=is_merged and not attempt.is_released,
        )

    def advance_call(self):
        call = self.pick(each for each in self.calls if not each.is_over)
        if call is None:
            return
        if not call.is_sent:
            if self.rng.random() < 0.3:
                self.fail_call(call, events.Fault.UNSENT)
                return
            call.is_sent = True
            for attempt in call.attempts:
                if self.is_open(attempt):
                    self.maybe_offered[attempt.number] += 1
                    self.step(events.AttemptStarted(attempt=attempt.id))
            if self.rng.random() < 0.2:
                # The helper refuses: it is stopping or holds too many calls.
                self.fail_call(call, events.Fault.UNSENT)
            return
        if self.rng.random() < 0.1:
            self.fail_call(call, events.Fault.HELPER)
            return
        self.report(call)

    def report(self, call):
        """Let a helper send or end some of its attempts, and report those that end."""
        ended = []
        for attempt in call.attempts:
            if not self.is_open(attempt) or self.rng.random() < 0.5:
                continue
            if attempt.state is State.WAITING and self.rng.random() < 0.7:
                if not attempt.is_released:
                    self.write(attempt)
                continue
            outcome = self.draw_outcome(attempt)
            self.conclude(attempt, outcome)
            ended.append(events.AttemptEnded(attempt=attempt.id, outcome=outcome))
        if ended:
            self.step(events.AttemptsReported(ended=tuple(ended)))
        call.is_over = not any(map(self.is_open, call.attempts))

    def fail_call(self, call, fault):
        call.is_over = True
        failed = events.Failed(fault=fault)
        pending = [each for each in call.attempts if self.is_open(each)]
        for attempt in pending:
            self.conclude(attempt, failed)
        self.step(events.HelperEnded(address=call.address, failed="refused"))
        self.step(
            events.AttemptsReported(
                ended=tuple(
                    events.AttemptEnded(attempt=each.id, outcome=failed)
                    for each in pending
                )
            )
        )

    def answer_probe(self):
        if self.probes:
            upstream_id = self.probes.pop(0)
            self.step(
                events.UpstreamProbed(
                    upstream_id=upstream_id,
                    listener=self.rng.choice(tuple(events.Listener)),
                )
            )

    def silence(self):
        """Report some upstreams as out of reach, as after probes without a response."""
        for service in self.rng.sample([*SHARDS, "one"], 4):
            for number in range(REPLICAS):
                self.step(
                    events.UpstreamProbed(
                        upstream_id=f"{service}-u{number}",
                        listener=self.rng.choice(
                            (events.Listener.OPEN, events.Listener.NO_RESPONSE)
                        ),
                    )
                )

    def answer_check(self):
        if self.checks:
            self.step(
                events.ListenerChecked(
                    attempt=self.checks.pop(0),
                    listener=self.rng.choice(tuple(events.Listener)),
                )
            )

    def answer_loan(self):
        if self.loans:
            loan = self.loans.pop(0)
            lent = loan.services[: self.rng.randrange(len(loan.services) + 1)]
            self.step(
                events.LoanReceived(
                    number=loan.number,
                    services=lent,
                    until=self.clock.monotonic() + 1.0,
                )
            )

    def pass_time(self):
        self.advance(self.rng.choice((0.001, 0.01, 0.05, 0.3)))

    def advance(self, seconds):
        end = self.clock.monotonic() + seconds
        while self.wake_at is not None and self.wake_at <= end:
            moment, self.wake_at = self.wake_at, None
            self.clock.advance(max(0.0, moment - self.clock.monotonic()))
            self.step(events.TimeReached())
        self.clock.advance(max(0.0, end - self.clock.monotonic()))
