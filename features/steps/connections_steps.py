"""Steps about how hosts divide an upstream's connection limit."""

import behave
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from fakes import core as fake_core
from greengagehaven import clock
from greengagehaven.coordination import connections, ownership

CAP = 25
ZONES = {f"h-{number}": "abc"[number % 3] for number in range(9)}
ANNOUNCEMENT = fake_core.announce("u-1")
GREEDY = fake_core.announce("u-1", slots=40)
MOST_LATE_S = connections.HOLD_DOWN.total_seconds() / 2 - 0.1
TICK_S = 0.1


class Host:
    """A host with its own membership view that uses its full connection limit."""

    def __init__(self, host_id, shared_clock):
        self.owners = ownership.Ownership(host_id=host_id, zone=ZONES[host_id])
        self.limits = connections.ConnectionLimits(
            clock=shared_clock, owners=self.owners
        )
        self.news = []

    def hear(self, zones):
        self.owners.set_hosts(zones)
        self.limits.set_hosts(self.owners.zones_by_host_id)


class ConnectionMachine(stateful.RuleBasedStateMachine):
    """Hosts that come, go and are cut off, each hearing of it in its time."""

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock()
        self.hosts = {}
        self.groups = ("abc",)

    @stateful.initialize(data=st.data())
    def begin(self, data):
        for host_id in list(ZONES)[:6]:
            self.hosts[host_id] = Host(host_id, self.clock)
        for host in self.hosts.values():
            host.hear({known: ZONES[known] for known in self.hosts})
        self.pass_time(5.0)

    def spread(self, data):
        for host_id, host in self.hosts.items():
            group = next(held for held in self.groups if ZONES[host_id] in held)
            view = {
                known: ZONES[known] for known in self.hosts if ZONES[known] in group
            }
            late = data.draw(st.floats(0.0, MOST_LATE_S))
            host.news.append((self.clock.monotonic() + late, view))

    @stateful.rule(data=st.data(), host_id=st.sampled_from(sorted(ZONES)))
    def join_or_leave(self, data, host_id):
        if host_id not in self.hosts:
            # A host joins before it accepts callers, so it starts with a view.
            self.hosts[host_id] = Host(host_id, self.clock)
            self.hosts[host_id].hear({known: ZONES[known] for known in self.hosts})
        elif len(self.hosts) > 1:
            del self.hosts[host_id]
        self.spread(data)

    @stateful.rule(data=st.data(), groups=st.sampled_from((("abc",), ("a", "bc"))))
    def cut(self, data, groups):
        self.groups = groups
        self.spread(data)

    @stateful.rule(seconds=st.sampled_from((0.5, 2.0, 4.0, 12.0)))
    def pass_time(self, seconds):
        for _ in range(int(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            now = self.clock.monotonic()
            for host in self.hosts.values():
                due = [view for moment, view in host.news if moment <= now]
                host.news = [item for item in host.news if item[0] > now]
                if due:
                    host.hear(due[-1])
            held = [host.limits.limit(GREEDY) for host in self.hosts.values()]
            assert sum(held) <= CAP, held


@behave.given("a connection state machine of 9 hosts that learn of changes late")
def given_machine(context):
    context.machine = ConnectionMachine


@behave.then("the connection state machine never counts more than 25")
def then_within_limit(context):
    settings = hypothesis.settings(
        database=None,
        derandomize=True,
        deadline=None,
        max_examples=100,
        stateful_step_count=30,
        # No shrinking: after a failure it would take minutes.
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(context.machine, settings=settings)


@behave.given("a connection limit of a host that becomes the owner of an upstream")
def given_new_owner(context):
    context.clock = clock.ManualClock()
    hosts = {host_id: Host(host_id, context.clock) for host_id in ZONES}
    for host in hosts.values():
        host.hear(ZONES)
        host.limits.limit(ANNOUNCEMENT)
    context.clock.advance(60.0)
    lost_id = hosts["h-0"].owners.owner_of(ANNOUNCEMENT)
    remaining = {host_id: zone for host_id, zone in ZONES.items() if host_id != lost_id}
    for host_id in remaining:
        hosts[host_id].hear(remaining)
    context.owner = hosts[hosts[next(iter(remaining))].owners.owner_of(ANNOUNCEMENT)]


@behave.then("its connection limit is 2 at first and 4 after the hold-down")
def then_limit_grows(context):
    assert context.owner.limits.limit(ANNOUNCEMENT) == 2
    context.clock.advance(connections.HOLD_DOWN.total_seconds())
    assert context.owner.limits.limit(ANNOUNCEMENT) == 4
