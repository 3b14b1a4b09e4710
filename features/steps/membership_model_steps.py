"""A stateful property test of membership over a faulty simulated network."""

import behave
import hypothesis
from hypothesis import stateful, strategies

from fakes import network
from greengagehaven.protocol import upstream

ZONES = ("a", "b", "c")
HOSTS = tuple(f"{zone}{number}" for number in (1, 2) for zone in ZONES)
UPSTREAMS = tuple(f"u-{zone}{number}" for number in (0, 1) for zone in ZONES)
SEEDS = ("a1", "b1", "c1")
# Worst case: the only host that knew of a withdrawal dies, message loss delays
# the detection of its failure, and the next home host waits for one more lease.
GONE_WITHIN_S = 30.0
CONVERGED_WITHIN_S = 20.0

hosts = strategies.sampled_from(HOSTS)
upstream_ids = strategies.sampled_from(UPSTREAMS)
zones = strategies.sampled_from(ZONES)


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Random sequences of host, link and upstream faults.

    Hypothesis's choices depend on the text of this module: renaming a member may
    give other sequences, although the test is derandomized.
    """

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def start(self, seed):
        self.network = network.Network(seed=seed)
        self.gone_at_by_id = {}
        self.upstreams_by_id = {}
        self.incarnation = 100
        for host_id in HOSTS:
            self.network.start_host(host_id, host_id[0], seeds=SEEDS)
        self.network.run(2)
        for upstream_id in UPSTREAMS:
            self.start_upstream(upstream_id)
        self.network.run(2)

    def start_upstream(self, upstream_id):
        self.incarnation += 1
        zone = upstream_id[2]
        self.gone_at_by_id.pop(upstream_id, None)
        self.upstreams_by_id[upstream_id] = ZoneLocalUpstream(
            self.network, upstream_id, zone, hosts=HOSTS, incarnation=self.incarnation
        )

    @stateful.rule(seconds=strategies.sampled_from((0.05, 0.5, 2.0, 6.0)))
    def wait(self, seconds):
        self.network.run(seconds)

    @stateful.rule(host_id=hosts)
    def kill_host(self, host_id):
        if host_id in self.network.hosts_by_id and len(self.network.hosts_by_id) > 2:
            self.network.kill(host_id)

    @stateful.rule(host_id=hosts, is_clock_late=strategies.booleans())
    def restart_host(self, host_id, is_clock_late):
        self.network.hosts_by_id.pop(host_id, None)
        incarnation = 1 if is_clock_late else None
        self.network.start_host(
            host_id, host_id[0], seeds=SEEDS, incarnation=incarnation
        )

    @stateful.rule(source=zones, sink=zones)
    def cut_one_way(self, source, sink):
        self.network.cut(in_zone(source), in_zone(sink))

    @stateful.rule(host_id=hosts)
    def cut_host(self, host_id):
        self.network.cut({host_id}, set(HOSTS))
        self.network.cut(set(HOSTS), {host_id})

    @stateful.rule()
    def heal(self):
        self.network.heal()

    @stateful.rule(share=strategies.sampled_from((0.0, 0.1, 0.3)))
    def disturb(self, share):
        self.network.loss = share
        self.network.duplication = share
        self.network.jitter_s = share

    @stateful.rule(upstream_id=upstream_ids)
    def stop_upstream(self, upstream_id):
        self.upstreams_by_id[upstream_id].stop()
        self.gone_at_by_id.setdefault(upstream_id, self.network.clock.monotonic())

    @stateful.rule(upstream_id=upstream_ids)
    def withdraw_upstream(self, upstream_id):
        each = self.upstreams_by_id[upstream_id]
        if each.is_running:
            each.withdraw(each.choose_host())
            self.gone_at_by_id[upstream_id] = self.network.clock.monotonic()

    @stateful.rule(upstream_id=upstream_ids)
    def restart_upstream(self, upstream_id):
        self.upstreams_by_id[upstream_id].stop()
        self.start_upstream(upstream_id)

    @stateful.rule(upstream_id=upstream_ids)
    def change_upstream(self, upstream_id):
        each = self.upstreams_by_id[upstream_id]
        each.state = upstream.UpstreamState.DRAINING

    @stateful.rule(upstream_id=upstream_ids, host_id=hosts)
    def repeat_late(self, upstream_id, host_id):
        """Deliver a duplicate announcement of a gone upstream to any host."""
        each = self.upstreams_by_id[upstream_id]
        gone_at = self.gone_at_by_id.get(upstream_id)
        is_late = gone_at is not None
        if host_id in self.network.hosts_by_id and is_late:
            self.network.announce(host_id, each.announcement())

    @stateful.invariant()
    def gone_upstreams_stay_gone(self):
        now = self.network.clock.monotonic()
        for upstream_id, gone_at in self.gone_at_by_id.items():
            if now - gone_at < GONE_WITHIN_S:
                continue
            for host_id, host in self.network.hosts_by_id.items():
                assert upstream_id not in host.upstream_ids, (host_id, upstream_id)

    def teardown(self):
        """End all faults; then each host must know exactly the live members."""
        self.network.heal()
        self.network.loss = self.network.duplication = self.network.jitter_s = 0.0
        self.network.run(max(CONVERGED_WITHIN_S, GONE_WITHIN_S))
        running = {each.id for each in self.upstreams_by_id.values() if each.is_running}
        live = set(self.network.hosts_by_id)
        for host_id, host in self.network.hosts_by_id.items():
            assert host.upstream_ids == running, (host_id, host.upstream_ids, running)
            assert set(host.zones_by_host_id) == live, (
                host_id,
                host.zones_by_host_id,
                live,
            )
            for each in self.upstreams_by_id.values():
                if each.is_running:
                    known = host.directory.upstreams_by_id[each.id]
                    assert known.state is each.state, (host_id, known)
                    assert known.incarnation == each.incarnation, (host_id, known)


class ZoneLocalUpstream(network.Upstream):
    """An upstream whose load balancer prefers live hosts of its own zone."""

    def choose_host(self):
        live = sorted(self.network.hosts_by_id)
        local = [host_id for host_id in live if host_id[0] == self.zone]
        return self.network.rng.choice(local or live)

    def announce(self, host_id=None):
        super().announce(host_id or self.choose_host())


def in_zone(zone):
    return {host_id for host_id in HOSTS if host_id[0] == zone}


@behave.then(
    "membership converges under {histories:d} random histories of {count:d} events"
)
def then_converges(context, histories, count):
    stateful.run_state_machine_as_test(
        MembershipMachine,
        settings=hypothesis.settings(
            max_examples=histories,
            stateful_step_count=count,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


@behave.then(
    "membership converges if upstream {upstream_id} is withdrawn, host {host_id} "
    "restarts and receives a delayed announcement of it"
)
def then_stays_withdrawn(context, upstream_id, host_id):
    history = MembershipMachine()
    history.start(seed=0)
    history.withdraw_upstream(upstream_id)
    history.wait(0.05)
    history.restart_host(host_id, is_clock_late=False)
    history.repeat_late(upstream_id, host_id)
    history.teardown()
