"""Steps about control hosts in process, on a virtual clock."""

import asyncio
import random

import behave
import msgspec

from fakes import control as control_fakes
from greengagehaven import exceptions, log
from greengagehaven.daemons import control, follower, operator_api, recovery
from greengagehaven.state import configuration
from greengagehaven.transport import http

DOCUMENT = b"""version = 1
[subscribers.demo]
key_sha256 = ["%s"]
[services.credits-0]
[kinds.sweep]
standing = %d
"""


def document_with(standing):
    return DOCUMENT % (b"ab" * 32, standing)


log.configure(level="critical")


class Environment:
    """Control and entry hosts on one virtual loop."""

    def __init__(self, seed=1, **settings):
        self.loop = control_fakes.VirtualLoop()
        self.network = control_fakes.Network()
        self.rng = random.Random(seed)
        self.settings = settings
        self.folders_by_host = {}
        self.controls_by_host = {}
        self.entries_by_host = {}
        self.events_by_host = {}

    def run(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    def wait_until(self, condition, seconds=30.0):
        end = self.loop.time() + seconds
        while not condition():
            assert self.loop.time() < end, "it did not happen in time"
            self.wait(0.05)

    def start_control(self, name, **settings):
        address = f"10.0.0.{name[1:]}:1"
        others = tuple(
            f"10.0.0.{other[1:]}:1" for other in self.folders_by_host if other != name
        )
        files = self.folders_by_host.setdefault(
            name, control_fakes.MemoryFolder(rng=self.rng)
        )
        host = control.ControlHost(
            settings=control.ControlSettings(
                host_id=name,
                data_folder="memory",
                peer_address=address,
                peer_addresses=others,
                **{"bootstrap": not others, **self.settings, **settings},
            ),
            channel=self.network.channel_of(address),
            clock=self.loop.clock,
            rng=self.rng,
            data_folder=files,
        )
        api = operator_api.OperatorApi(host=host)
        handlers = {**host.handlers_by_method, **api.handlers_by_method}
        self.network.handlers_by_address[address] = handlers
        self.controls_by_host[name] = (host, api)
        self.run(host.start())
        return host

    def stop_control(self, name):
        host, _ = self.controls_by_host.pop(name)
        del self.network.handlers_by_address[host.settings.peer_address]
        self.run(host.close())
        self.folders_by_host[name].crash()

    def start_controls(self, count):
        for number in range(1, count + 1):
            self.start_control(f"c{number}")
        self.wait_until(lambda: len(self.voters()) == count)

    def voters(self):
        leader = self.leader()
        return () if leader is None else leader.raft.log.membership.voter_ids

    def leader(self):
        hosts = [host for host, _ in self.controls_by_host.values()]
        reachable = [
            host
            for host in hosts
            if host.is_leader
            and not self.network.is_cut("", host.settings.peer_address)
        ]
        return max(reachable, key=lambda host: host.raft.term, default=None)

    def start_entry(self, name, zone):
        address = f"10.0.1.{name[1:]}:1"
        events = self.events_by_host[name] = []
        entry = follower.ConfigurationFollower(
            channel=self.network.channel_of(address),
            host_id=name,
            availability_zone=zone,
            control_addresses=[
                host.settings.peer_address for host, _ in self.controls_by_host.values()
            ],
            peer_addresses=lambda: [
                other
                for other in sorted(self.network.handlers_by_address)
                if other.startswith("10.0.1.") and other != address
            ],
            on_event=events.append,
            clock=self.loop.clock,
            rng=self.rng,
        )
        self.network.handlers_by_address[address] = entry.handlers_by_method
        self.entries_by_host[name] = entry

        async def start():
            entry.start()

        self.run(start())
        return entry

    def ask(self, method, path, body=None, via=None, raw=b""):
        """Return (status, decoded body) of an operator's request."""
        _, api = self.controls_by_host[via or next(iter(self.controls_by_host))]
        data = raw if body is None else msgspec.json.encode(body)
        request = http.Request(
            method=method,
            path=path,
            parameters={},
            headers=http.Headers(),
            body=data,
            peer="",
        )
        try:
            response = self.run(api.handle(request))
        except exceptions.GreengagehavenError as error:
            fields = {"code": error.code, "detail": error.detail}
            return getattr(error, "status", 500), fields
        return response.status, msgspec.json.decode(response.body)

    def apply(self, document, change_id, expected=None, via=None):
        body = {
            "change_id": change_id,
            "document": document,
            "expected_revision": expected,
        }
        return self.ask("POST", "/v1/changes", body, via)

    def drain(self, zone, *, drained=True, force=False):
        body = {
            "change_id": f"{zone}-{drained}-{force}-{self.rng.random()}",
            "drained": drained,
            "force": force,
        }
        return self.ask("POST", f"/v1/zones/{zone}", body)

    def revisions(self):
        return {name: entry.revision for name, entry in self.entries_by_host.items()}

    def close(self):
        for entry in self.entries_by_host.values():
            self.run(entry.close())
        for host, _ in self.controls_by_host.values():
            self.run(host.close())
        self.loop.close()


@behave.given("an environment of {count:d} control hosts and entry hosts in {zones}")
def given_environment(context, count, zones):
    context.environment = environment = Environment()
    context.add_cleanup(environment.close)
    environment.start_controls(count)
    for number, zone in enumerate(zones.split(" and ")):
        environment.start_entry(f"e{number + 1}", zone)
    environment.wait(1.0)


@behave.given("document {number:d} is in force everywhere")
def given_in_force(context, number):
    environment = context.environment
    status, result = environment.apply(document_with(number), f"given-{number}")
    assert status == 200, result
    context.revision = result["revision"]
    environment.wait_until(
        lambda: set(environment.revisions().values()) == {context.revision}
    )


@behave.when("two operators apply different documents on the same revision at once")
def when_racing(context):
    environment = context.environment
    _, api = environment.controls_by_host["c1"]
    hosts = [host for host, _ in environment.controls_by_host.values()]
    leader = environment.leader()
    assert leader in hosts

    async def race():
        return await asyncio.gather(
            *(
                leader.propose(
                    configuration.DocumentChange(
                        change_id=f"race-{author}",
                        author=author,
                        document=document_with(10 + number),
                        expected_revision=context.revision,
                    )
                )
                for number, author in enumerate(("ann", "bob"))
            )
        )

    context.results = environment.run(race())


@behave.then("exactly one of them is accepted and the other hears who won")
def then_one_wins(context):
    accepted = [result for result in context.results if result.accepted]
    refused = [result for result in context.results if not result.accepted]
    assert len(accepted) == 1, context.results
    winner = accepted[0].change_id
    assert winner in refused[0].detail, refused
    assert winner.removeprefix("race-") in refused[0].detail, refused


@behave.then("the audit trail shows both")
def then_audited(context):
    _, lines = context.environment.ask("GET", "/v1/audit")
    codes = {line["change_id"]: line["code"] for line in lines}
    assert sorted(codes[f"race-{name}"] for name in ("ann", "bob")) == [
        "accepted",
        "revision_conflict",
    ], codes


@behave.when("change {change_id} is applied and its reply is lost")
def when_reply_lost(context, change_id):
    environment = context.environment
    context.first = environment.apply(document_with(77), change_id, context.revision)
    assert context.first[0] == 200, context.first


@behave.when("the leader is lost and every other control host restarts")
def when_leader_lost(context):
    environment = context.environment
    lost = environment.leader().settings.host_id
    environment.stop_control(lost)
    for name in list(environment.controls_by_host):
        environment.stop_control(name)
        environment.start_control(name)
    environment.wait_until(lambda: environment.leader() is not None)


@behave.then("a resend of change {change_id} returns the first result")
def then_first_result(context, change_id):
    environment = context.environment
    again = environment.apply(document_with(77), change_id, context.revision)
    assert again == context.first, (again, context.first)


@behave.then("a different change under the id {change_id} is refused")
def then_reuse_refused(context, change_id):
    status, problem = context.environment.apply(document_with(78), change_id)
    assert (status, problem["code"]) == (409, "change_id_reused"), problem


@behave.when("a control host is silently cut off")
def when_cut_off(context):
    environment = context.environment
    followed = {
        entry._following.source for entry in environment.entries_by_host.values()
    }
    context.cut = sorted(address for address in followed if address)[0]
    environment.network.cut_off(context.cut)
    context.cut_host = next(
        host
        for host, _ in environment.controls_by_host.values()
        if host.settings.peer_address == context.cut
    )
    context.via = next(
        name
        for name, (host, _) in environment.controls_by_host.items()
        if host is not context.cut_host
    )


@behave.when("document {number:d} is applied at another control host")
def when_applied_elsewhere(context, number):
    environment = context.environment
    environment.wait_until(lambda: environment.leader() is not None)
    status, result = environment.apply(
        document_with(number), f"elsewhere-{number}", via=context.via
    )
    assert status == 200, result
    context.revision = result["revision"]


@behave.then("every entry host has it in force within {seconds:d} seconds")
def then_everywhere(context, seconds):
    environment = context.environment
    environment.wait_until(
        lambda: set(environment.revisions().values()) == {context.revision}, seconds
    )


@behave.then("the cut-off host calls its own state outdated and its quorum lost")
def then_outdated(context):
    host = context.cut_host
    assert host.age > 1.0, host.age
    status, body = context.environment.ask(
        "GET", "/v1/status", via=host.settings.host_id
    )
    assert (status, body["quorum"]) == (200, "lost"), body


@behave.when("the cut-off host comes back")
def when_back(context):
    leader = context.environment.leader()
    context.term = leader.raft.term
    context.environment.network.heal()
    context.environment.wait(3.0)


@behave.then("it catches up without a new election")
def then_no_election(context):
    leader = context.environment.leader()
    assert leader.raft.term == context.term, (leader.raft.term, context.term)
    host = context.cut_host
    assert host.machine.state.revision == context.revision
    assert host.age < 1.0, host.age


@behave.when("all control hosts but one are lost for good")
def when_quorum_lost(context):
    environment = context.environment
    names = list(environment.controls_by_host)
    context.via = names[0]
    for name in names[1:]:
        environment.stop_control(name)
    environment.wait(3.0)


@behave.then("status says that the quorum is lost and a change is refused as such")
def then_quorum_lost(context):
    environment = context.environment
    _, status = environment.ask("GET", "/v1/status", via=context.via)
    assert status["quorum"] == "lost", status
    assert "no answer from: c2, c3" in status["detail"], status["detail"]
    code, problem = environment.apply(document_with(5), "lost", via=context.via)
    assert (code, problem["code"]) == (503, "quorum_lost"), problem


@behave.then("entry hosts go on with document {number:d}")
def then_go_on(context, number):
    assert set(context.environment.revisions().values()) == {context.revision}


@behave.when("the last control host is recovered")
def when_recovered(context):
    environment = context.environment
    environment.stop_control(context.via)
    recovery.recover(
        data_folder="memory",
        author="ann",
        now=environment.loop.clock.now(),
        files=environment.folders_by_host[context.via],
    )
    environment.start_control(context.via, bootstrap=False)
    environment.wait_until(lambda: environment.leader() is not None)


@behave.then("a replaced control host joins it and has the same revision")
def then_replaced(context):
    environment = context.environment
    environment.folders_by_host["c2"] = control_fakes.MemoryFolder(rng=environment.rng)
    host = environment.start_control("c2")
    environment.wait_until(lambda: len(environment.voters()) == 2)
    environment.wait_until(
        lambda: (
            host.machine.state.revision == environment.leader().machine.state.revision
        )
    )


@behave.when("an operator drains zone {zone}")
def when_drained(context, zone):
    context.answer = context.environment.drain(zone)


@behave.when("an operator drains by force zone {zone}")
def when_drained_by_force(context, zone):
    context.answer = context.environment.drain(zone, force=True)


@behave.then("the drain is accepted and every entry host knows {zones} as drained")
def then_drained(context, zones):
    environment = context.environment
    status, result = context.answer
    assert status == 200, result
    expected = frozenset(zones.split(" and "))
    environment.wait(1.0)
    for events in environment.events_by_host.values():
        drained = [event for event in events if hasattr(event, "zones")]
        assert drained[-1].zones == expected, drained


@behave.then("the drain is refused as {code}")
def then_drain_refused(context, code):
    status, problem = context.answer
    assert (status >= 400, problem["code"]) == (True, code), problem


@behave.when("every control host is cut off and a new entry host starts in {zone}")
def when_new_entry(context, zone):
    environment = context.environment
    for host, _ in environment.controls_by_host.values():
        environment.network.cut_off(host.settings.peer_address)
    environment.start_entry("e9", zone)


@behave.then("it starts from a peer at the same revision")
def then_from_peer(context):
    environment = context.environment
    entry = environment.entries_by_host["e9"]
    environment.wait_until(lambda: entry.revision == context.revision)
    assert entry.age > 0.0
