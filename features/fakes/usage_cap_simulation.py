"""Entry hosts and control hosts that keep usage caps, in simulated time with faults.

The oracle counts all requests of a team by true time, in exact sliding windows.
"""

import bisect
import dataclasses
import heapq
import itertools
import random

from fakes import usage_cap_faults, usage_cap_members
from greengagehaven.coordination.shared_budgets import demand_shares, report_schedule
from greengagehaven.protocol import codec
from greengagehaven.state import teams

FAULTS = (
    "none",
    "host_restart",
    "host_kill",
    "host_freeze",
    "host_cut_off",
    "zone_cut_off",
    "control_restart",
    "control_kill",
    "losses",
    "delays",
)
PATTERNS = ("steady", "flood", "pause", "overload", "after_flood", "moving")
PLACES = ("one", "few", "all")
SUBSTITUTE_METHODS = frozenset({"handle_substitute", "handle_relayed"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """One random case: who sends what where, and the fault.

    :param loses_power: whether a host that stops does so without closing its
        connections, as a machine without power does.
    """

    seed: int
    hosts: int = 77
    controls: int = 3
    rate: float = 20.0
    burst: float = 20.0
    pattern: str = "flood"
    place: str = "all"
    fault: str = "none"
    limit_change: float = 1.0
    seconds: float = 22.0
    loses_power: bool = False
    faults: tuple[usage_cap_faults.Fault, ...] = ()
    flood_start: float = 6.0
    flood_seconds: float = 6.5
    flood_times: float = 7.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Errors of a case in both directions.

    :param over: most requests in a window above the tolerance, negative for room.
    :param refused_within: refused requests with which no more than the limit would
        have been offered in the window.
    :param refused_with_room: refused requests with which no more than the limit would
        have been admitted in the window.
    """

    offered: int
    admitted: int
    over: float
    refused_within: int
    refused_with_room: int


class Simulation:
    """Runs one case.

    :param make_shares: builds the decision of a host, so that variants compare.
    """

    def __init__(self, case, *, make_shares=None):
        self.case = case
        self.rng = random.Random(case.seed)
        self.substitute_rng = random.Random(f"substitutes {case.seed}")
        self.make_shares = make_shares or (
            lambda rng: demand_shares.DemandShares(caps=usage_cap_members.CAPS, rng=rng)
        )
        self.now = 100.0
        self.queue = []
        self.order = itertools.count()
        self.loss = 0.15 if case.fault == "losses" else 0.0
        self.slowest = 0.15 if case.fault == "delays" else 0.004
        self.cut = {}
        self.cut_links = set()
        self.team = teams.Team(id="t", rate=case.rate, burst=case.burst)
        self.limit_changes = [(0.0, usage_cap_members.CAPS.limit_of(self.team))]
        self.admitted, self.refused, self.offered = [], [], []
        self.messages = self.bytes = 0
        self.waits = []
        self.controls = [
            usage_cap_members.SimulatedControl(self, f"c{number}", number % 3)
            for number in range(case.controls)
        ]
        self.hosts = [
            usage_cap_members.SimulatedHost(self, f"h{number}", number % 3)
            for number in range(case.hosts)
        ]

    def at(self, delay, action):
        heapq.heappush(self.queue, (self.now + delay, next(self.order), action))

    def can_reach(self, source, target):
        if frozenset((source.name, target.name)) in self.cut_links:
            return False
        return self.cut.get(source.name, source.zone_side) == self.cut.get(
            target.name, target.zone_side
        )

    def reaches_majority(self, host):
        """Return whether a host reaches a control host that reaches most of them."""
        alive = [each for each in self.controls if not each.is_down]
        return any(
            self.can_reach(host, control)
            and 2 * sum(self.can_reach(control, other) for other in alive)
            > len(self.controls)
            for control in alive
        )

    def call(self, source, target, method, message, on_reply):
        """Send a message; ``on_reply`` gets the reply, or ``None`` after a timeout.

        Messages through substitutes have random numbers of their own, so that those of
        the others do not depend on them.
        """
        rng = self.substitute_rng if method in SUBSTITUTE_METHODS else self.rng
        state = {"over": False}
        body = codec.encode_msgpack(message)
        self.messages += 1
        self.bytes += len(body)
        run = source.run

        def finish(reply):
            if state["over"] or source.run != run:
                return
            if source.frozen_until > self.now:
                self.at(source.frozen_until - self.now, lambda: finish(reply))
                return
            state["over"] = True
            on_reply(reply)

        def arrive():
            if target.is_down or not self.can_reach(source, target):
                return
            if target.frozen_until > self.now:
                self.at(target.frozen_until - self.now, arrive)
                return
            getattr(target, method)(message, respond)

        def respond(reply):
            if rng.random() >= self.loss:
                self.at(self.delay(rng), lambda: finish(reply))

        if rng.random() >= self.loss and self.can_reach(source, target):
            self.at(self.delay(rng), arrive)
        self.at(report_schedule.CALL_TIMEOUT_S, lambda: finish(None))

    def delay(self, rng):
        return rng.uniform(0.0005, self.slowest)

    def run(self):
        self.plan_requests()
        self.plan_fault()
        if self.case.limit_change != 1.0:
            self.at(self.case.seconds * 0.5, self.change_limit)
        for each in (*self.hosts, *self.controls):
            self.at(self.rng.uniform(0, 0.2), each.tick)
        end = self.now + self.case.seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        for host in self.hosts:
            host.refuse_waiting()
        return self.judge()

    def change_limit(self):
        change = self.case.limit_change
        self.team = teams.Team(
            id="t", rate=self.case.rate * change, burst=self.case.burst * change
        )
        self.limit_changes.append(
            (self.now, usage_cap_members.CAPS.limit_of(self.team))
        )

    def plan_requests(self):
        case = self.case
        counts = {"one": 1, "few": min(3, case.hosts), "all": case.hosts}
        chosen = self.rng.sample(self.hosts, counts[case.place])
        moved = self.rng.sample(self.hosts, counts[case.place])
        start = 1.0
        while start < case.seconds:
            rate, pile = self.demand(start)
            for _ in range(pile):
                self.plan_request(start + self.rng.uniform(0, 0.05), chosen)
            if rate <= 0:
                start += 0.05
                continue
            start += self.rng.expovariate(rate)
            is_moved = case.pattern == "moving" and start > case.seconds / 2
            self.plan_request(start, moved if is_moved else chosen)

    def plan_request(self, delay, hosts):
        host = self.rng.choice(hosts)
        self.at(delay, lambda: self.arrive(host))

    def arrive(self, host):
        """Hand a request to a host; callers of a host that is down use another."""
        if host.is_down:
            host = next((each for each in self.hosts if not each.is_down), host)
        host.request()

    def demand(self, at):
        """Return the requests per second at a time, and requests sent at once."""
        case = self.case
        usual = case.rate * 0.7
        match case.pattern:
            case "flood":
                since = at - case.flood_start
                is_flood = 0 <= since < case.flood_seconds
                return (case.flood_times * usual if is_flood else usual), 0
            case "overload":
                return 2 * case.rate, 0
            case "after_flood":
                return (7 * usual if 4 <= at < 6 else usual if at > 9 else 0.0), 0
            case "pause":
                if 7 <= at < 10:
                    self.is_paused = True
                    return 0.0, 0
                pile = int(usual * 3) if getattr(self, "is_paused", False) else 0
                self.is_paused = False
                return usual, pile
        return usual, 0

    def plan_fault(self):
        fault, host = self.case.fault, self.rng.choice(self.hosts)
        start = self.rng.uniform(5, 9)
        length = self.rng.uniform(2, 8)
        if fault in ("host_restart", "host_kill"):
            self.at(start, lambda: host.stop())
            if fault == "host_restart":
                self.at(start + 0.8, lambda: host.restart())
        if fault == "host_freeze":
            self.at(start, lambda: host.freeze(length))
        if fault == "host_cut_off":
            self.at(start, lambda: self.cut.__setitem__(host.name, 9))
            self.at(start + length, self.cut.clear)
        if fault == "zone_cut_off":
            self.at(start, self.cut_zone)
            self.at(start + length, self.cut.clear)
        if fault in ("control_restart", "control_kill"):
            control = self.rng.choice(self.controls)
            self.at(start, lambda: control.stop())
            if fault == "control_restart":
                self.at(start + 1.0, lambda: control.restart())

        for each in self.case.faults:
            usage_cap_faults.plan(self, each)

    def cut_zone(self):
        for each in (*self.hosts, *self.controls):
            if each.zone == 1:
                self.cut[each.name] = 1

    def judge(self):
        admitted, offered = sorted(self.admitted), sorted(self.offered)
        over = max((self.excess(admitted, at) for at in admitted), default=-1.0)
        return Result(
            offered=len(offered),
            admitted=len(admitted),
            over=over,
            refused_within=sum(
                count_in_window(offered, at) <= self.largest_limit(at, smallest=True)
                for at in self.refused
            ),
            refused_with_room=sum(
                count_in_window(admitted, at) + 1
                <= self.largest_limit(at, smallest=True)
                for at in self.refused
            ),
        )

    def excess(self, admitted, at):
        tolerated = (
            self.largest_limit(at) * (1 + usage_cap_members.CAPS.overage)
            + usage_cap_members.CAPS.slack
        )
        return count_in_window(admitted, at) - tolerated

    def largest_limit(self, at, *, smallest=False):
        """Return the limit at a time: a change binds one window later, either way."""
        limits = [
            limit
            for number, (since, limit) in enumerate(self.limit_changes)
            if since <= at
            and (
                number + 1 == len(self.limit_changes)
                or self.limit_changes[number + 1][0]
                > at - usage_cap_members.CAPS.window
            )
        ]
        return min(limits) if smallest else max(limits)


def count_in_window(moments, at):
    """Return how many sorted moments are in the window that ends at one."""
    low = bisect.bisect_right(moments, at - usage_cap_members.CAPS.window)
    return bisect.bisect_right(moments, at) - low


def random_case(seed):
    """Return a case with everything drawn from a seed."""
    rng = random.Random(seed)
    return Case(
        seed=seed,
        hosts=rng.choice((1, 2, 5, 20, 77, 133)),
        controls=rng.choice((3, 6, 8)),
        rate=rng.choice((0.3, 1.0, 5.0, 15.0, 40.0)),
        burst=rng.choice((0.0, 5.0, 40.0)),
        pattern=rng.choice(PATTERNS),
        place=rng.choice(PLACES),
        fault=rng.choice(FAULTS),
        limit_change=rng.choice((1.0, 1.0, 1.0, 0.5, 2.0)),
    )


def overlapping_case(seed):
    """Return a case with overlapping faults that hit many hosts, drawn from a seed."""
    rng = random.Random(f"overlapping {seed}")
    return Case(
        seed=seed,
        hosts=rng.choice((5, 20, 77)),
        controls=rng.choice((3, 6)),
        rate=rng.choice((5.0, 15.0, 40.0)),
        burst=rng.choice((0.0, 20.0)),
        pattern=rng.choice(("flood", "flood", "steady", "overload", "moving")),
        place=rng.choice(PLACES),
        flood_start=rng.uniform(3.0, 9.0),
        flood_times=rng.choice((4.0, 7.0)),
        faults=usage_cap_faults.random_faults(rng),
    )
