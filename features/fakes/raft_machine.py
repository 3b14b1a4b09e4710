"""The cluster as a hypothesis state machine: it finds short schedules."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from fakes import raft

CHOICES = st.integers(min_value=0, max_value=999)
PAUSES = st.sampled_from((0.02, 0.1, 0.3, 0.7))
ACTION_NAMES = [name for name, _ in raft.ACTIONS]
WEIGHTED = [name for name, weight in raft.ACTIONS for _ in range(weight // 2)]


class RaftMachine(stateful.RuleBasedStateMachine):
    """Rules over a cluster; its invariants are checked in every step."""

    size = 3

    @stateful.initialize(seed=st.integers(min_value=0, max_value=2**16))
    def begin(self, seed):
        """Start the hosts and let them find a leader."""
        self.cluster = raft.Cluster(seed=seed, size=self.size)
        for _ in range(4):
            self.cluster.advance(0.4)
            self.cluster.deliver_all(3, late=0.0)

    @stateful.rule(action=st.sampled_from(WEIGHTED), choice=CHOICES, seconds=PAUSES)
    def act(self, action, choice, seconds):
        """Do anything that may come about."""
        raft.act(self.cluster, action, choice, seconds)

    @stateful.rule()
    def calm(self):
        """Let the hosts talk undisturbed for a moment."""
        self.cluster.advance(0.1)
        self.cluster.deliver_all(3, late=0.0)

    @stateful.rule(choice=CHOICES)
    def repair_then_wipe(self, choice):
        """Lose a second host just after a repair."""
        if self.cluster.wipe(choice):
            self.cluster.settle()
            self.cluster.wipe(choice + 1)

    def teardown(self):
        """Repair everything; a change must then be accepted."""
        if hasattr(self, "cluster"):
            self.cluster.settle()


class FiveHosts(RaftMachine):
    """The same over five hosts."""

    size = 5


def run(machine, *, seed, examples, steps=40):
    """Run a machine from a fixed seed.

    :raises InvariantBrokenError: with the shortest schedule that was found.
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
    seeded = hypothesis.seed(seed)(_named(machine))
    stateful.run_state_machine_as_test(seeded, settings=settings)


def _named(machine):
    """Return a subclass of its own, since the seed is kept on the class."""
    return type(machine.__name__, (machine,), {})
