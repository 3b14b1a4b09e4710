"""The cluster as a hypothesis state machine, which finds short failing schedules."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from fakes import raft

CHOICES = st.integers(min_value=0, max_value=999)
DURATIONS = st.sampled_from((0.02, 0.1, 0.3, 0.7))
ACTION_NAMES = [name for name, _ in raft.ACTIONS]
WEIGHTED = [name for name, weight in raft.ACTIONS for _ in range(weight // 2)]


class RaftMachine(stateful.RuleBasedStateMachine):
    """Rules over a cluster, which checks its invariants in every step."""

    size = 3

    @stateful.initialize(seed=st.integers(min_value=0, max_value=2**16))
    def begin(self, seed):
        """Start the hosts and let them elect a leader."""
        self.cluster = raft.Cluster(seed=seed, size=self.size)
        for _ in range(4):
            self.cluster.advance(0.4)
            self.cluster.deliver_all(3, late=0.0)

    @stateful.rule(action=st.sampled_from(WEIGHTED), choice=CHOICES, seconds=DURATIONS)
    def act(self, action, choice, seconds):
        """Perform any of ``raft.ACTIONS``."""
        raft.act(self.cluster, action, choice, seconds)

    @stateful.rule()
    def calm(self):
        """Deliver all messages without faults for a moment."""
        self.cluster.advance(0.1)
        self.cluster.deliver_all(3, late=0.0)

    @stateful.rule(choice=CHOICES)
    def repair_then_wipe(self, choice):
        """Empty a second disk just after a repair."""
        if self.cluster.wipe(choice):
            self.cluster.settle()
            self.cluster.wipe(choice + 1)

    def teardown(self):
        """Repair everything; a change must then be accepted."""
        if hasattr(self, "cluster"):
            self.cluster.settle()


class FiveHostRaftMachine(RaftMachine):
    """The same rules over five hosts."""

    size = 5


def run(machine, *, seed, examples, steps=40):
    """Run a state machine from a fixed seed.

    :raises InvariantBrokenError: with the shortest failing schedule found.
    """
    settings = hypothesis.settings(
        database=None,
        deadline=None,
        derandomize=False,
        max_examples=examples,
        stateful_step_count=steps,
        print_blob=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    seeded = hypothesis.seed(seed)(_fresh_subclass(machine))
    stateful.run_state_machine_as_test(seeded, settings=settings)


def _fresh_subclass(machine):
    """Return a new subclass, since hypothesis stores the seed on the class."""
    return type(machine.__name__, (machine,), {})
