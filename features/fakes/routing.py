"""A router on a manual clock, with upstreams whose replies the test controls."""

import random

from greengagehaven import clock
from greengagehaven.coordination.routing import events, mechanisms, router
from greengagehaven.protocol import watching
from greengagehaven.state import routes

HOST = "register.example"
OBJECTIVE_S = 0.1
TIMEOUT_S = 1.0
UPTIME_S = 30.0
ZONE = "a"


def upstream_entry(
    upstream_id,
    service,
    *,
    incarnation=1,
    sequence=1,
    zone=ZONE,
    stage=watching.Stage.READY,
    address=None,
    cold_left_ms=0,
    version="",
):
    return watching.UpstreamEntry(
        id=upstream_id,
        incarnation=incarnation,
        sequence=sequence,
        service=service,
        address=address or f"{upstream_id}:1",
        availability_zone=zone,
        stage=stage,
        slots=2,
        cold_left_ms=cold_left_ms,
        version=version,
    )


def sweep_route(shards, *, least_coverage=0.75, attempts=2, prefix="/sweep/"):
    return routes.Route(
        name="sweep",
        host=HOST,
        path_prefix=prefix,
        shards=tuple(shards),
        attempts=attempts,
        timeout=TIMEOUT_S,
        objective=OBJECTIVE_S,
        top_records=3,
        min_coverage=least_coverage,
    )


def single_route(*weighted, is_idempotent=True, attempts=2, prefix="/single/"):
    return routes.Route(
        name="single",
        host=HOST,
        path_prefix=prefix,
        services=tuple(
            routes.WeightedService(service=service, weight=weight)
            for service, weight in weighted
        ),
        is_idempotent=is_idempotent,
        attempts=attempts,
        timeout=TIMEOUT_S,
        objective=OBJECTIVE_S,
    )


def routing_table(number, *table_routes, cold_rate=0.0):
    services = {name for route in table_routes for name in route.service_names}
    return routes.RoutingTable(
        number=number,
        routes=table_routes,
        limits_by_service={
            name: routes.ServiceLimits(connections=26, cold_rate=cold_rate)
            for name in services
        },
        caller_limits=routes.CallerLimits(),
    )


class RouterHarness:
    """Runs the router of one entry host on a manual clock and records its actions.

    :param burst: extra attempts above the ratio.
    :param ratio: extra attempts per request.
    :param uptime: seconds since the host started.
    :param used: mechanisms that are enabled.
    :param revoke_within: limit for revocations in seconds, ``None`` for no limit.
    """

    def __init__(
        self,
        *,
        burst=20.0,
        ratio=0.2,
        seed=1,
        uptime=UPTIME_S,
        used=mechanisms.Mechanisms(),  # noqa: B008
        host_id="",
        revoke_within=None,
        usage_caps=None,
    ):
        self.clock = clock.ManualClock()
        options = router.Options(
            zone=ZONE,
            host_id=host_id,
            retry_ratio=ratio,
            retry_burst=burst,
            usage_caps=usage_caps,
            enabled_mechanisms=used,
            revoke_within=revoke_within,
        )
        self.router = router.Router(
            options=options, clock=self.clock, rng=random.Random(seed)
        )
        # Most scenarios concern a host that has been up for a while.
        self.clock.advance(uptime)
        self.answer_writing_s = 0.0
        self.sent = []
        self.delegated = []
        self.released = []
        self.forgotten = []
        self.checked = []
        self.reported = []
        self.borrowed = []
        self.outliers = []
        self.probed = []
        self.final_actions_by_number = {}
        self.wake_at = None
        self.next_number = 1
        self.starts_attempts = True

    def step(self, event):
        for action in self.router.step(event):
            match action:
                case events.Send():
                    self.sent.append(action)
                    if self.starts_attempts:
                        started = events.AttemptStarted(attempt=action.attempt)
                        self.router.step(started)
                case events.Delegate():
                    self.delegated.append(action)
                    for send in action.sends:
                        started = events.AttemptStarted(attempt=send.attempt)
                        self.router.step(started)
                case events.ReleaseAttempts(attempts=attempts):
                    self.released.extend(attempts)
                case events.CloseUpstreamConnections(address=address):
                    self.forgotten.append(address)
                case events.CheckListener():
                    self.checked.append(action)
                case events.ProbeUpstream(upstream_id=upstream_id):
                    self.probed.append(upstream_id)
                case events.ReportCrash(crash=crash):
                    self.reported.append(crash)
                case events.ReportOutlier(outlier=outlier):
                    self.outliers.append(outlier)
                case events.RequestLoan():
                    self.borrowed.append(action)
                case events.WakeAt(moment=moment):
                    self.wake_at = moment
                case final_action:
                    assert final_action.number not in self.final_actions_by_number
                    self.final_actions_by_number[final_action.number] = final_action
                    if isinstance(final_action, events.AnswerParts):
                        written_at = self.clock.monotonic() + self.answer_writing_s
                        self.router.step(final_action.written_at(written_at))

    def apply_upstream_entries(self, *entries):
        self.step(events.UpstreamsChanged(entries=entries))

    def apply_routing_table(self, routing_table):
        self.step(events.RoutingTableChanged(table=routing_table))

    def request(
        self, path, *, time_left=None, fingerprint=None, key_digest="", age=0.0
    ):
        number = self.next_number
        self.next_number += 1
        arrived = events.RequestArrived(
            number=number,
            request_id=f"r-{number}",
            host=HOST,
            path=path,
            fingerprint=fingerprint or f"f-{number}",
            time_left=time_left,
            key_digest=key_digest,
            age=age,
        )
        self.step(arrived)
        return number

    def attempts_of(self, number):
        return [send for send in self.sent if send.number == number]

    def answer_attempt(self, send, *, status=200, not_run=False, load=None, size=0):
        outcome = events.Replied(
            status=status,
            is_success=200 <= status < 300,
            not_run=not_run,
            load=load,
            size=size,
        )
        self.step(events.AttemptEnded(attempt=send.attempt, outcome=outcome))

    def fail_attempt(self, send, fault, **fields):
        outcome = events.Failed(fault=fault, **fields)
        self.step(events.AttemptEnded(attempt=send.attempt, outcome=outcome))

    def lose_connection(self, send, *, listener):
        """Lose a connection without any reply, and report the listener's state."""
        self.fail_attempt(send, events.Fault.LOST, received_nothing=True)
        check = self.checked.pop()
        self.step(events.ListenerChecked(attempt=check.attempt, listener=listener))

    def process_due_events(self):
        """Let the router process what is due now."""
        self.step(events.TimeReached())

    def advance_clock(self, seconds):
        end = self.clock.monotonic() + seconds
        while self.wake_at is not None and self.wake_at <= end:
            moment, self.wake_at = self.wake_at, None
            self.clock.advance(max(0.0, moment - self.clock.monotonic()))
            self.step(events.TimeReached())
        self.clock.advance(end - self.clock.monotonic())
