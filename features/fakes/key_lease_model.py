"""Control hosts and entry hosts with key leases under faults, as a hypothesis machine.

The control hosts run the real log and the entry hosts the real lease; the calls between
them are steps of the machine, so that each may take any time or be lost. The oracle is
the rule itself: at no time does a host accept the keys of a revision if a newer one was
acknowledged longer ago than the limit.
"""

import dataclasses
import math

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from fakes import raft, raft_machine
from greengagehaven.coordination.routing import key_lease

REVOKE_S = 5.0
MAX_DRIFT = 0.001
STEP_S = 0.1
ENTRY_COUNT = 3
ACTION_NAMES = (
    "deliver_all",
    "deliver",
    "double",
    "lose",
    "propose",
    "propose",
    "propose",
    "cut_link",
    "cut_off",
    "heal",
    "heal",
    "crash",
    "restart",
    "restart",
    "bounce",
    "bounce_leader",
    "wipe",
    "fill_disk",
)
COURSES = (
    "freeze_during_a_change",
    "delay_reply",
    "restart_with_old_state",
    "compare_during_a_change",
)


class RuleBrokenError(AssertionError):
    """A host accepts keys that were revoked longer ago than the limit."""


class ConfirmingCluster(raft.Cluster):
    """Control hosts that may freeze, with the time of each acknowledgement."""

    def __init__(self, **fields):
        self.now = 0.0
        self.frozen = set()
        self.acknowledged_at = {}
        super().__init__(lease_reads=False, stamps_replies=True, **fields)

    def _new_host(self, name):
        host = super()._new_host(name)
        host.clock = raft.DriftingClock(drift=self.rng.uniform(-MAX_DRIFT, MAX_DRIFT))
        return host

    def advance(self, seconds):
        self.now += seconds
        super().advance(seconds)

    def _step(self, host, *batch):
        if host.name not in self.frozen:
            super()._step(host, *batch)
            return
        # Messages to a frozen host wait in its sockets, whatever else was due is late.
        self.in_flight += [
            event.message for event in batch if hasattr(event, "message")
        ]

    def _check_result(self, change_id, record):
        super()._check_result(change_id, record)
        self.acknowledged_at.setdefault(record.revision, self.now)

    def messages_to(self, host):
        """Return the messages in flight to a host, oldest first."""
        if not host.is_up:
            return []
        member_id = host.replica.raft.member_id
        return [each for each in self.in_flight if each.receiver == member_id]

    def deliver_message(self, message):
        self.in_flight = [each for each in self.in_flight if each is not message]
        self._deliver(message)


@dataclasses.dataclass
class Call:
    """A call of an entry host: sent, then held, then answered.

    :param run: run of the entry host that sent it.
    """

    entry: "EntryHost"
    control: raft.Host
    run: int
    sent_at: float
    only_compares: bool
    arrived_at: float | None = None
    generation: int = 0
    reply: tuple | None = None


class EntryHost:
    """An entry host with a lease; it has no disk and starts without a document.

    ``only_control`` is the one control host that it reaches, ``None`` for all, and
    ``only_compares`` whether its calls ask for digests only.
    """

    def __init__(self, drift):
        self.clock = raft.DriftingClock(drift=drift)
        self.run = 0
        self.only_control = None
        self.only_compares = False
        self.restart()

    def restart(self):
        self.run += 1
        self.is_frozen = False
        self.revision = 0
        self.lease = key_lease.KeyLease(revoke_within=REVOKE_S, clock=self.clock)

    def apply_reply(self, call):
        revision, staleness, held = call.reply
        if not call.only_compares:
            self.revision = max(self.revision, revision)
        if staleness == math.inf or revision > self.revision:
            return
        self.lease.renew(
            key_lease.confirmation_time(
                sent_at=call.sent_at,
                received_at=self.clock.monotonic(),
                held=held,
                staleness=staleness,
            )
        )


class World:
    """The cluster, the entry hosts and their calls.

    :param seed: seed of the choices that the machine does not make.
    :param fault: a fault that is planted to show that the oracle finds it.
    """

    def __init__(self, *, seed=0, size=3, fault=""):
        self.cluster = ConfirmingCluster(seed=seed, size=size)
        self.rng = self.cluster.rng
        self.fault = fault
        self.entries = [
            EntryHost(self.rng.uniform(-MAX_DRIFT, MAX_DRIFT))
            for _ in range(ENTRY_COUNT)
        ]
        self.calls = []
        self.checks = 0
        self.valid_checks = 0
        self.calm(1.5)

    def advance(self, seconds):
        """Let time pass for all hosts in short steps, and check the rule."""
        while seconds > 0:
            step = min(STEP_S, seconds)
            seconds -= step
            self.cluster.advance(step)
            for entry in self.entries:
                entry.clock.advance(step)
            self.check()

    def calm(self, seconds, *, with_calls=True):
        """Let time pass with a network that loses nothing."""
        for _ in range(max(1, round(seconds / STEP_S))):
            self.advance(STEP_S)
            self.cluster.deliver_all(2, late=0.0)
            if with_calls and self.rng.random() < 0.3:
                control = self.rng.choice(self.cluster.hosts)
                self.call_at_once(self.rng.randrange(ENTRY_COUNT), control)

    def call_at_once(self, entry_choice, control):
        """Let an entry host make a call that takes no time."""
        call = self.send_call(entry_choice, control)
        if call is not None and self.serve(call) and self.answer(call):
            self.deliver(call)

    def send_call(self, entry_choice, control):
        entry = self.entries[entry_choice % ENTRY_COUNT]
        if entry.is_frozen or entry.only_control not in (None, control):
            return None
        call = Call(
            entry=entry,
            control=control,
            run=entry.run,
            sent_at=entry.clock.monotonic(),
            only_compares=entry.only_compares or self.rng.random() < 0.3,
        )
        self.calls.append(call)
        return call

    def serve(self, call):
        """Let a call arrive at its control host, which holds it."""
        if call.arrived_at is not None or not self._can_run(call.control):
            return False
        call.arrived_at = call.control.clock.monotonic()
        call.generation = call.control.generation
        return True

    def answer(self, call):
        """Let the control host answer a call that it holds."""
        control = call.control
        if call.arrived_at is None or call.reply or not self._can_run(control):
            return False
        if control.generation != call.generation:
            # The process that held the call is gone.
            self.calls.remove(call)
            return False
        call.reply = (
            control.replica.machine.state.revision,
            self._staleness(control.replica.raft),
            control.clock.monotonic() - call.arrived_at,
        )
        return True

    def _staleness(self, member):
        match self.fault:
            case "an estimate instead of a bound":
                return member.staleness
            case "a restarted host confirms":
                known = member.confirmed_staleness
                return (
                    member.clock.monotonic() - member.started_at
                    if (known == math.inf)
                    else known
                )
        return member.confirmed_staleness

    def deliver(self, call):
        """Let a reply arrive at an entry host; a frozen one reads it later."""
        entry = call.entry
        if call.reply is None or entry.is_frozen:
            return
        self.calls.remove(call)
        if call.run != entry.run:
            return
        if self.fault == "the time of the reply":
            call.sent_at = entry.clock.monotonic()
        if self.fault == "a revision that is not in force" and call.only_compares:
            revision, staleness, held = call.reply
            call.reply = (min(revision, entry.revision), staleness, held)
        entry.apply_reply(call)
        self.check()

    def thaw(self, choice):
        """Resume a control host; an entry host asks it after each message it reads."""
        host = self.cluster.hosts[choice % self.cluster.size]
        self.cluster.frozen.discard(host.name)
        for message in self.cluster.messages_to(host):
            self.cluster.deliver_message(message)
            for entry_choice in range(ENTRY_COUNT):
                self.call_at_once(entry_choice, host)

    def change(self, choice):
        """Change the document, and let a moment pass in which it may be accepted."""
        self.cluster.propose(choice)
        self.calm(0.3, with_calls=False)

    def freeze_during_a_change(self, choice, seconds):
        """Freeze a control host with messages in its sockets, and change a document.

        One entry host reaches no other control host.
        """
        host = self.cluster.hosts[choice % self.cluster.size]
        entry = self.entries[choice % ENTRY_COUNT]
        entry.only_control = host
        self.cluster.advance(STEP_S)
        self.cluster.frozen.add(host.name)
        self.calm(seconds / 2)
        self.change(choice + 1)
        self.calm(seconds)
        self.thaw(choice)
        entry.only_control = None

    def delay_reply(self, choice, seconds):
        """Let a reply be on its way during a change; its host gets no other one."""
        host = self.cluster.hosts[choice % self.cluster.size]
        entry = self.entries[choice % ENTRY_COUNT]
        call = self.send_call(choice, host)
        if call is None or not (self.serve(call) and self.answer(call)):
            return
        entry.only_control = "none"
        self.change(choice + 1)
        self.calm(seconds)
        if call in self.calls:
            self.deliver(call)
        entry.only_control = None

    def restart_with_old_state(self, choice, seconds):
        """Restart a control host that missed a change; one entry host reaches it."""
        host = self.cluster.hosts[choice % self.cluster.size]
        entry = self.entries[choice % ENTRY_COUNT]
        entry.only_control = host
        self.cluster.crash(choice)
        self.calm(seconds / 2, with_calls=False)
        self.change(choice + 1)
        self.calm(seconds)
        self.cluster.cut_off(choice)
        self.cluster.restart(choice)
        self.calm(1.0)
        self.call_at_once(choice, host)
        self.cluster.heal()
        entry.only_control = None

    def compare_during_a_change(self, choice, seconds):
        """Let an entry host compare only, so that it does not get a change."""
        entry = self.entries[choice % ENTRY_COUNT]
        entry.only_compares = True
        self.change(choice + 1)
        self.calm(seconds)
        entry.only_compares = False

    def _can_run(self, control):
        return control.is_up and control.name not in self.cluster.frozen

    def check(self):
        """Check the rule for every entry host that runs.

        :raises RuleBrokenError: a host accepts keys that it must not.
        """
        for entry in self.entries:
            self.checks += 1
            if entry.is_frozen or not entry.lease.is_valid():
                continue
            self.valid_checks += 1
            for revision, acknowledged_at in self.cluster.acknowledged_at.items():
                late = self.cluster.now - acknowledged_at - REVOKE_S
                if revision > entry.revision and late > 0:
                    raise RuleBrokenError(
                        f"a host at revision {entry.revision} accepts keys {late:.3f} s"
                        f" after the limit for revision {revision}"
                    )


class KeyLeaseMachine(stateful.RuleBasedStateMachine):
    """Rules over a world; the oracle runs in every step."""

    size = 3
    fault = ""
    totals = None

    @stateful.initialize(
        seed=st.integers(min_value=0, max_value=2**16),
        courses=st.lists(
            st.tuples(st.sampled_from(COURSES), raft_machine.CHOICES),
            min_size=1,
            max_size=3,
        ),
    )
    def begin(self, seed, courses):
        self.world = World(seed=seed, size=self.size, fault=self.fault)
        for course, choice in courses:
            getattr(self.world, course)(choice, 6.0)

    @stateful.rule(action=st.sampled_from(ACTION_NAMES), choice=raft_machine.CHOICES)
    def act(self, action, choice):
        """Let a fault of the control hosts, or a change, happen."""
        raft.act(self.world.cluster, action, choice, 0.1)
        self.world.check()

    @stateful.rule(seconds=st.sampled_from((0.3, 1.0, 2.5, 5.0)))
    def pass_calmly(self, seconds):
        self.world.calm(seconds)

    @stateful.rule(seconds=st.sampled_from((0.3, 1.0, 4.0, 6.0)))
    def pass_without_calls(self, seconds):
        self.world.calm(seconds, with_calls=False)

    @stateful.rule(choice=raft_machine.CHOICES)
    def freeze_control(self, choice):
        host = self.world.cluster.hosts[choice % self.size]
        self.world.cluster.frozen.add(host.name)

    @stateful.rule(choice=raft_machine.CHOICES)
    def thaw_control(self, choice):
        self.world.thaw(choice)

    @stateful.rule(
        course=st.sampled_from(COURSES),
        choice=raft_machine.CHOICES,
        seconds=st.sampled_from((2.0, 6.0)),
    )
    def follow_course(self, course, choice, seconds):
        """Let one of the courses that have broken the rule in a design happen."""
        getattr(self.world, course)(choice, seconds)

    @stateful.rule(choice=raft_machine.CHOICES)
    def change(self, choice):
        self.world.change(choice)

    @stateful.rule(entry=raft_machine.CHOICES, is_frozen=st.booleans())
    def freeze_entry(self, entry, is_frozen):
        self.world.entries[entry % ENTRY_COUNT].is_frozen = is_frozen
        self.world.check()

    @stateful.rule(entry=raft_machine.CHOICES)
    def restart_entry(self, entry):
        self.world.entries[entry % ENTRY_COUNT].restart()

    @stateful.rule(entry=raft_machine.CHOICES, control=raft_machine.CHOICES)
    def send_call(self, entry, control):
        self.world.send_call(entry, self.world.cluster.hosts[control % self.size])

    @stateful.rule(choice=raft_machine.CHOICES)
    def serve_call(self, choice):
        if self.world.calls:
            self.world.serve(self.world.calls[choice % len(self.world.calls)])

    @stateful.rule(choice=raft_machine.CHOICES)
    def answer_call(self, choice):
        if self.world.calls:
            self.world.answer(self.world.calls[choice % len(self.world.calls)])

    @stateful.rule(choice=raft_machine.CHOICES, is_lost=st.booleans())
    def end_call(self, choice, is_lost):
        if not self.world.calls:
            return
        call = self.world.calls[choice % len(self.world.calls)]
        if is_lost:
            self.world.calls.remove(call)
        else:
            self.world.deliver(call)

    def teardown(self):
        if hasattr(self, "world") and self.totals is not None:
            self.totals["cases"] += 1
            self.totals["checks"] += self.world.checks
            self.totals["valid"] += self.world.valid_checks
            self.totals["changes"] += len(self.world.cluster.acknowledged_at)


def run(*, seed, examples, steps=12, size=3, fault=""):
    """Run the machine; return its totals.

    :raises RuleBrokenError: with a failing sequence, which is the shortest one found
        unless a fault was planted.
    """
    totals = {"cases": 0, "checks": 0, "valid": 0, "changes": 0}
    machine = type(
        "SeededKeyLeaseMachine",
        (KeyLeaseMachine,),
        {"size": size, "fault": fault, "totals": totals},
    )
    phases = [hypothesis.Phase.generate]
    if not fault:
        phases.append(hypothesis.Phase.shrink)
    settings = hypothesis.settings(
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=steps,
        phases=phases,
        print_blob=False,
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    seeded = hypothesis.seed(seed)(machine)
    stateful.run_state_machine_as_test(seeded, settings=settings)
    return totals
