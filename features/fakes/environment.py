"""Control and entry hosts of one environment, in process on a virtual event loop."""

import asyncio
import random

import msgspec

from fakes import control_fakes
from greengagehaven import exceptions, log
from greengagehaven.daemons import control_host, follower, operator_api
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
    """Control and entry hosts on one virtual event loop and network.

    :param seed: seed of the random choices of hosts and disks.
    :param settings: settings of every control host, see ``ControlSettings``.
    """

    def __init__(self, seed=1, **settings):
        self.loop = control_fakes.VirtualLoop()
        self.network = control_fakes.Network()
        self.rng = random.Random(seed)
        self.settings = settings
        self.folders_by_host = {}
        self.controls_by_host = {}
        self.entries_by_host = {}
        self.states_by_host = {}

    def run(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    def wait_until(self, condition, seconds=30.0):
        deadline = self.loop.time() + seconds
        while not condition():
            assert self.loop.time() < deadline, (
                "the condition did not become true in time"
            )
            self.wait(0.05)

    def start_control(self, name, **settings):
        address = f"10.0.0.{name[1:]}:1"
        others = tuple(
            f"10.0.0.{other[1:]}:1" for other in self.folders_by_host if other != name
        )
        folder = self.folders_by_host.setdefault(
            name, control_fakes.MemoryFolder(rng=self.rng)
        )
        host = control_host.ControlHost(
            settings=control_host.ControlSettings(
                host_id=name,
                data_folder="memory",
                peer_address=address,
                peer_addresses=others,
                **{"bootstrap": not others, **self.settings, **settings},
            ),
            channel=self.network.channel_of(address),
            clock=self.loop.clock,
            rng=self.rng,
            data_folder=folder,
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
        if leader is None:
            return frozenset()
        log = leader.raft.log
        return log.membership_at(leader.raft.commit_index).voter_ids

    def leader(self):
        hosts = [host for host, _ in self.controls_by_host.values()]
        leaders = [host for host in hosts if host.is_leader and host.staleness < 1.0]
        return max(leaders, key=lambda host: host.raft.term, default=None)

    def start_entry(self, name, zone):
        address = f"10.0.1.{name[1:]}:1"
        states = self.states_by_host[name] = []
        entry = follower.ConfigurationFollower(
            channel=self.network.channel_of(address),
            host_id=name,
            availability_zone=zone,
            control_addresses=[
                f"10.0.0.{control[1:]}:1" for control in sorted(self.folders_by_host)
            ],
            peer_addresses=lambda: [
                other
                for other in sorted(self.network.handlers_by_address)
                if other.startswith("10.0.1.") and other != address
            ],
            on_state=states.append,
            clock=self.loop.clock,
            rng=self.rng,
        )
        self.network.handlers_by_address[address] = entry.handlers_by_method
        self.entries_by_host[name] = entry

        async def start():
            entry.start()

        self.run(start())
        return entry

    def request(self, method, path, body=None, via=None, raw=b""):
        """Send an operator's request; return (status, decoded body).

        :param via: the control host that gets it, by default the first one.
        """
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
        return self.request("POST", "/v1/changes", body, via)

    def drain(self, zone, *, drained=True, force=False):
        body = {
            "change_id": f"{zone}-{drained}-{force}-{self.rng.random()}",
            "drained": drained,
            "force": force,
        }
        return self.request("POST", f"/v1/zones/{zone}", body)

    def digests(self):
        """Return the digest of the document on each entry host."""
        return {name: states[-1].digest for name, states in self.states_by_host.items()}

    def revisions(self):
        return {name: entry.revision for name, entry in self.entries_by_host.items()}

    def close(self):
        for entry in self.entries_by_host.values():
            self.run(entry.close())
        for host, _ in self.controls_by_host.values():
            self.run(host.close())
        self.loop.close()
