"""Random fault schedules over control and entry hosts on a virtual event loop."""

import random

from fakes import control_fakes
from fakes import environment as environments

NAMES = ("c1", "c2", "c3")
ADDRESSES = tuple(f"10.0.0.{name[1:]}:1" for name in NAMES)
ENTRY_ADDRESSES = ("10.0.1.1:1", "10.0.1.2:1")
ACTIONS = (
    "wait",
    "wait",
    "apply",
    "apply",
    "resend",
    "cut off",
    "cut between",
    "heal",
    "stop",
    "start",
    "start",
    "replace",
    "restart entry",
)


class RandomSchedule:
    """Runs one random schedule and checks its invariants.

    :param seed: seed of the schedule.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.environment = environments.Environment(seed)
        self.results_by_change = {}
        self.documents_by_change = {}
        self.highest_revisions_by_entry = {}
        self.change_count = 0
        self.replaced_count = 0

    def run(self, steps=30):
        """Run the schedule, repair all faults, check the end state and close."""
        try:
            self.environment.start_controls(len(NAMES))
            self.environment.start_entry("e1", "a")
            self.environment.start_entry("e2", "b")
            for _ in range(steps):
                self._perform(self.rng.choice(ACTIONS))
                self._check_revisions()
            self._repair()
        finally:
            self.environment.close()

    def _perform(self, action):
        environment = self.environment
        name = self.rng.choice(NAMES)
        address = f"10.0.0.{name[1:]}:1"
        match action:
            case "wait":
                environment.wait(self.rng.choice((0.05, 0.3, 1.5)))
            case "apply":
                self.change_count += 1
                self._apply(self.change_count)
            case "resend" if self.change_count:
                self._apply(self.rng.randrange(self.change_count) + 1)
            case "cut off":
                environment.network.cut_off(address)
            case "cut between":
                others = [other for other in ADDRESSES if other != address]
                environment.network.cut_between(address, others)
            case "heal":
                environment.network.heal()
            case "stop" if name in environment.controls_by_host:
                environment.stop_control(name)
            case "start" if name not in environment.controls_by_host:
                environment.start_control(name, bootstrap=True)
            case "replace":
                self._replace(name)
            case "restart entry":
                entry = self.rng.choice(("e1", "e2"))
                environment.run(environment.entries_by_host.pop(entry).close())
                self.highest_revisions_by_entry.pop(entry, None)
                environment.start_entry(entry, "a" if entry == "e1" else "b")

    def _apply(self, change_number):
        environment = self.environment
        if not environment.controls_by_host:
            return
        via = self.rng.choice(sorted(environment.controls_by_host))
        change = f"change-{change_number}"
        data = environments.document_with(change_number)
        status, answer = environment.apply(data, change, via=via)
        if status == 503:
            return
        known = self.results_by_change.setdefault(change, (status, answer))
        assert known == (status, answer), f"{change}: {known}, then {answer}"

    def _replace(self, name):
        """Restart a host with an empty disk if all hosts are up and are the voters."""
        environment = self.environment
        leader = environment.leader()
        if leader is None or len(environment.controls_by_host) < len(NAMES):
            return
        running = {
            host.raft.member_id
            for host, _ in environment.controls_by_host.values()
            if host.raft is not None
        }
        is_membership_committed = (
            leader.raft.log.membership_index <= leader.raft.commit_index
        )
        if not is_membership_committed or environment.voters() != running:
            return
        self.replaced_count += 1
        environment.stop_control(name)
        environment.folders_by_host[name] = control_fakes.MemoryFolder(rng=self.rng)
        environment.start_control(name, bootstrap=True)

    def _check_revisions(self):
        for name, entry in self.environment.entries_by_host.items():
            highest = self.highest_revisions_by_entry.get(name, 0)
            assert entry.revision >= highest, (
                f"{name} went back to revision {entry.revision}"
            )
            self.highest_revisions_by_entry[name] = entry.revision

    def _repair(self):
        environment = self.environment
        environment.network.heal()
        for name in NAMES:
            if name not in environment.controls_by_host:
                environment.start_control(name, bootstrap=True)
        environment.wait_until(lambda: len(environment.voters()) == len(NAMES), 60)
        for change, (status, answer) in self.results_by_change.items():
            number = int(change.removeprefix("change-"))
            data = environments.document_with(number)
            again = environment.apply(data, change)
            assert again == (status, answer), f"{change}: {answer}, then {again}"
        status, result = environment.apply(environments.document_with(999), "last")
        assert status == 200, result
        environment.wait_until(
            lambda: set(environment.revisions().values()) == {result["revision"]}, 30
        )
        assert set(environment.digests().values()) == {result["digest"]}
