"""Upstreams behind several hosts that crash on certain requests."""

import collections
import dataclasses

import msgspec

from fakes import core as fake_core
from fakes import hosts
from greengagehaven.coordination import events
from greengagehaven.protocol import upstream

STEP_S = 0.001
RESTART_S = 2.0


@dataclasses.dataclass(kw_only=True)
class Run:
    """A sub-request in progress at an upstream."""

    host_id: str
    sub_request: upstream.SubRequest
    ends_at: float


class CrashingTier:
    """Entry hosts and upstreams on one clock that advances by milliseconds.

    :param announcements: the upstreams.
    :param run_s: seconds that an upstream takes for a request.
    :param crash_s: seconds that it runs a poison request before it crashes.
    :param is_poison: whether a sub-request crashes its upstream.
    """

    def __init__(
        self, *, host_count, announcements, run_s=0.01, crash_s=0.01, is_poison
    ):
        self.hosts = hosts.Hosts(count=host_count, on_sent=self._on_dispatch)
        self.run_s = run_s
        self.crash_s = crash_s
        self.is_poison = is_poison
        self.runs_by_upstream = collections.defaultdict(list)
        self.crashes = []
        self.sent_count = 0
        self._announcements_by_id = {each.id: each for each in announcements}
        self._restart_times_by_id = {}
        zones = dict.fromkeys(self.hosts.hosts_by_id, "a")
        for tier in self.hosts.hosts_by_id.values():
            tier.step(events.HostsChanged(zones_by_host_id=zones))
            tier.apply_announcements(*announcements)

    @property
    def now(self):
        return self.hosts.clock.monotonic()

    def submit(self, host_id, request_id, **fields):
        self.hosts.submit(host_id, request_id, **fields)
        self.hosts.deliver_messages()

    def answer(self, request_id):
        return self._find_result("answers_by_id", request_id)

    def refusal(self, request_id):
        return self._find_result("refusals_by_id", request_id)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.hosts.advance(STEP_S)
            self._restart_due_upstreams()
            for upstream_id in list(self.runs_by_upstream):
                self._finish_due_runs(upstream_id)

    def crash(self, upstream_id, *, restarts=True):
        """Crash an upstream and reset all its sub-requests."""
        self.crashes.append(upstream_id)
        lost_runs = self.runs_by_upstream.pop(upstream_id, [])
        announcement = self._announcements_by_id[upstream_id]
        for tier in self.hosts.hosts_by_id.values():
            tier.directory.withdraw(
                upstream_id, (announcement.incarnation, announcement.sequence)
            )
        for run in lost_runs:
            tier = self.hosts.hosts_by_id[run.host_id]
            if run.sub_request.id in tier.in_flight:
                tier.fail(run.sub_request, upstream.FailureReason.RESET)
        event = events.DirectoryChanged(upstream_ids=frozenset({upstream_id}))
        for tier in self.hosts.hosts_by_id.values():
            tier.step(event)
        if restarts:
            self._restart_times_by_id[upstream_id] = self.now + RESTART_S
        self.hosts.deliver_messages()

    def add_upstream(self, announcement):
        """Announce a new upstream to every host."""
        self._announcements_by_id[announcement.id] = announcement
        for tier in self.hosts.hosts_by_id.values():
            tier.apply_announcements(announcement)

    def _on_dispatch(self, host_id, sub_request):
        self.sent_count += 1
        upstream_id = sub_request.upstream_id
        is_down = upstream_id in self._restart_times_by_id
        if is_down:
            tier = self.hosts.hosts_by_id[host_id]
            tier.fail(sub_request, upstream.FailureReason.CONNECT, not_run=True)
            return
        duration = self.crash_s if self.is_poison(sub_request) else self.run_s
        run = Run(host_id=host_id, sub_request=sub_request, ends_at=self.now + duration)
        self.runs_by_upstream[upstream_id].append(run)

    def _finish_due_runs(self, upstream_id):
        for run in list(self.runs_by_upstream.get(upstream_id, ())):
            if run.ends_at > self.now or upstream_id not in self.runs_by_upstream:
                continue
            tier = self.hosts.hosts_by_id[run.host_id]
            if run.sub_request.id not in tier.in_flight:
                self.runs_by_upstream[upstream_id].remove(run)
            elif self.is_poison(run.sub_request):
                self.crash(upstream_id)
            else:
                self.runs_by_upstream[upstream_id].remove(run)
                tier.reply(run.sub_request)
                self.hosts.deliver_messages()

    def _restart_due_upstreams(self):
        for upstream_id, restart_at in list(self._restart_times_by_id.items()):
            if restart_at > self.now:
                continue
            del self._restart_times_by_id[upstream_id]
            announcement = self._announcements_by_id[upstream_id]
            restarted = msgspec.structs.replace(
                announcement, incarnation=announcement.incarnation + 1
            )
            self._announcements_by_id[upstream_id] = restarted
            for tier in self.hosts.hosts_by_id.values():
                tier.apply_announcements(restarted)

    def _find_result(self, name, request_id):
        for tier in self.hosts.hosts_by_id.values():
            found = getattr(tier, name)
            if request_id in found:
                return found[request_id]
        return None


def replica_upstreams(count):
    """Return upstreams that all hold the only shard of credits-0."""
    return [fake_core.announce(f"u-{number}", slots=4) for number in range(count)]


def sharded_upstreams(shards, *, zones="ab"):
    """Return one upstream per zone and shard of credits-0."""
    return [
        fake_core.announce(
            f"u-{zone}-{shard}",
            shards=(("credits-0", shard, shards),),
            zone=zone,
            slots=4,
        )
        for shard in range(shards)
        for zone in zones
    ]
