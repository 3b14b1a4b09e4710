"""An entry host that watches control hosts on a virtual clock, with a key lease.

The host's gateway, watcher and the feeds of the control hosts are those of the daemons;
only the network between them and the control hosts' confirmations are fakes.
"""

import asyncio
import contextlib
import datetime
import json
import random

from fakes import control_fakes, platform_deployment
from greengagehaven import log
from greengagehaven.coordination import control_host_selection
from greengagehaven.coordination.routing import router
from greengagehaven.daemons import (
    gateway,
    gateway_settings,
    publisher,
    roster_feed,
    watcher,
)
from greengagehaven.platform import documents, names
from greengagehaven.protocol import codec, watching
from greengagehaven.state import configuration, configuration_history, roster
from greengagehaven.transport import http

REVOKE_S = 5.0
LEASE_S = 4.5
KEY = "key-of-the-first-team"
ZONE = "midt-a"
QUORUM_DELAY_S = 0.25


def document(*, with_teams=True):
    tenants = [{"name": "north", "apiKeys": [KEY]}] if with_teams else []
    config = platform_deployment.configuration(tenants=tenants)
    config["routes"][1]["public"] = True
    return json.dumps(config).encode()


class ControlHost:
    """The feed of a control host, whose confirmations the scenario controls."""

    def __init__(self, world, number):
        self.address = f"control-{number}:1"
        self._clock = world.loop.clock
        self.confirmed_at = None
        self.is_confirmed_continuously = True
        self.history = configuration_history.ConfigurationHistory()
        self.requests = []
        self.feed = self._new_feed()
        world.network.handlers_by_address[self.address] = {
            roster_feed.WATCH_METHOD: self._handle
        }

    def _new_feed(self):
        return roster_feed.RosterFeed(
            roster=roster.Roster(host_name=self.address, silence_timeout=1000.0),
            configuration=publisher.ConfigurationPublisher(
                history=self.history,
                staleness=lambda: min(self.staleness(), 1000.0),
                confirmed_staleness=self.staleness,
                clock=self._clock,
            ),
            control_addresses=tuple,
            clock=self._clock,
            zone=ZONE,
        )

    def staleness(self):
        if self.is_confirmed_continuously:
            return QUORUM_DELAY_S
        if self.confirmed_at is None:
            return float("inf")
        return self._clock.monotonic() - self.confirmed_at

    def lose_majority(self):
        self.is_confirmed_continuously = False
        self.confirmed_at = self._clock.monotonic() - QUORUM_DELAY_S

    def regain_majority(self):
        self.is_confirmed_continuously = True

    def restart(self):
        """Restart with the state on disk; nothing is confirmed yet."""
        self.is_confirmed_continuously = False
        self.confirmed_at = None
        self.feed = self._new_feed()

    def publish(self, revision, body):
        self.history.replace(
            configuration.ConfigurationState(revision=revision, document=body)
        )
        self.feed.notify()

    async def _handle(self, body):
        request = codec.decode_msgpack(body, watching.WatchRequest)
        self.requests.append((self._clock.monotonic(), request))
        return await self.feed.handle(body)


class SlowChannel:
    """A channel whose replies may take long, as for a host that is frozen."""

    def __init__(self, channel):
        self._channel = channel
        self.reply_delay = 0.0

    async def call(self, address, method, body, *, timeout):
        data = await self._channel.call(address, method, body, timeout=timeout)
        if self.reply_delay:
            await asyncio.sleep(self.reply_delay)
        return data


class World:
    """Three control hosts and an entry host.

    :param revoke_within: the entry host's limit for revocations, ``None`` for none.
    """

    def __init__(self, *, revoke_within=REVOKE_S, with_teams=True):
        self.lines = []
        self.loop = control_fakes.VirtualLoop()
        self.network = control_fakes.Network()
        self.controls = [ControlHost(self, number) for number in range(3)]
        self.gateway = gateway.Gateway(
            settings=gateway_settings.GatewaySettings(
                host_id="front-1",
                zone=ZONE,
                listen="127.0.0.1:0",
                ready_listen="127.0.0.1:0",
                ready_path=names.READY_PATH,
                control_addresses=(),
                grace=datetime.timedelta(seconds=6),
                router=router.Options(zone=ZONE, revoke_within=revoke_within),
            ),
            names=names.HEADERS,
            parse_document=documents.parse,
            clock=self.loop.clock,
            rng=random.Random(1),
        )
        self.guard = self.gateway._router.key_guard
        self.channel = SlowChannel(self.network.channel_of("front-1"))
        self.watcher = watcher.Watcher(
            channel=self.channel,
            host_id="front-1",
            availability_zone=ZONE,
            is_entry=True,
            control_addresses=[each.address for each in self.controls],
            control_host_selector=control_host_selection.SameZoneControlHost(
                zone=ZONE, clock=self.loop.clock
            ),
            confirmation_period=lambda: self.guard.renewal_period,
            sink=self.gateway,
            clock=self.loop.clock,
            rng=random.Random(2),
        )
        self.publish(1, document(with_teams=with_teams))

    def publish(self, revision, body):
        for control in self.controls:
            control.publish(revision, body)

    def start(self):
        log.configure(level="INFO", sink=self.lines.append)

        async def begin():
            self.watcher.start()

        self.loop.run_until_complete(begin())

    def stop(self):
        self.loop.run_until_complete(self.watcher.close())
        self.loop.close()

    def run_for(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def freeze(self, seconds):
        """Freeze the entry host: its clock goes on, and nothing in it runs.

        Calls to it and replies wait. The virtual loop stands for this host alone here,
        as the control hosts answer by their clocks only.
        """
        self.loop.clock.advance(seconds)

    def cut_off(self):
        self.network.cut_off("front-1")

    def request(self, path=platform_deployment.SWEEP_PATH, *, key=KEY):
        headers = [("Host", platform_deployment.HOST)]
        if key:
            headers.append((names.HEADERS.key, key))
        return self.loop.run_until_complete(
            self.gateway._handle(
                http.Request(
                    method="GET",
                    path=path,
                    parameters={},
                    headers=http.Headers(headers),
                    body=b"",
                    peer="",
                    target=path,
                )
            )
        )

    def is_ready(self):
        request = http.Request(
            method="GET",
            path=names.READY_PATH,
            parameters={},
            headers=http.Headers(),
            body=b"",
            peer="",
        )
        handled = self.gateway._handle_ready(request)
        return self.loop.run_until_complete(handled).status == 200

    def is_refused(self, **fields):
        """Send a request; return whether it was refused for lack of a lease."""
        before = self.guard.refusals.get("admission", 0)
        response = self.request(**fields)
        is_refused = self.guard.refusals.get("admission", 0) > before
        if is_refused:
            assert response.status == 503, response
            assert float(dict(response.headers)["Retry-After"]) > 0, response
            assert response.closes_connection, response
        return is_refused

    def count_lines(self, event):
        return sum(f" event={event} " in line for line in self.lines)

    @contextlib.contextmanager
    def running(self):
        self.start()
        try:
            yield self
        finally:
            self.stop()
            log.configure(level="CRITICAL")
