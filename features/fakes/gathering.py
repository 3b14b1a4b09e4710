"""A helper host that gathers parts for a caller host, with upstreams, on loopback."""

import asyncio
import datetime
import math

from greengagehaven import clock
from greengagehaven.coordination.routing import events
from greengagehaven.daemons import delegation_client, delegation_server
from greengagehaven.protocol import header_names as names_module
from greengagehaven.transport import exchanges, http, http_peers

NAMES = names_module.HeaderNames()
RECORD_BYTES = 16
HEADERS = [("host", "register.example"), ("request-id", "r-1")]
REPORT_AFTER_S = 0.3
TIME_LEFT_S = 10.0
NO_GRACE = datetime.timedelta()


class Upstreams:
    """Runs upstreams on loopback, the last of which replies late."""

    def __init__(self, count):
        self.count = count
        self.rejecting_number = None
        self.load_text = None
        self.request_count = 0
        self.may_reply_late = asyncio.Event()
        self.addresses = []
        self.servers = []

    async def start(self):
        for number in range(self.count):
            server = await asyncio.start_server(self._serve(number), "127.0.0.1", 0)
            self.servers.append(server)
            host, port = server.sockets[0].getsockname()[:2]
            self.addresses.append(f"{host}:{port}")

    def _serve(self, number):
        async def serve(reader, writer):
            try:
                await reader.readuntil(b"\r\n\r\n")
                self.request_count += 1
                if number == self.count - 1:
                    await self.may_reply_late.wait()
                body = bytes([number]) * RECORD_BYTES
                status = "503 Full" if number == self.rejecting_number else "200 OK"
                head = (
                    f"HTTP/1.1 {status}\r\nRequest-Id: r-1\r\n"
                    f"Signature: s-{number}\r\nContent-Length: {len(body)}\r\n"
                )
                if self.load_text is not None:
                    head += f"Load: {self.load_text}\r\n"
                head += "\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
                await reader.read()
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            except asyncio.CancelledError:
                return
            finally:
                writer.close()

        return serve

    async def stop(self):
        for server in self.servers:
            server.close()


class ReportSink:
    """Records the reports and ends of delegated attempts."""

    def __init__(self):
        self.reports = []
        self.straggling = []
        self.ends = []
        self.reported = asyncio.Event()
        self.ended = asyncio.Event()

    def on_attempt_started(self, attempt):
        pass

    def on_attempts_reported(self, report):
        self.reports.append({each.attempt: each.outcome for each in report.ended})
        self.straggling.append(report.straggling)
        self.reported.set()

    def on_helper_ended(self, event):
        self.ends.append(event)
        self.ended.set()


class HelperSetup:
    """Runs a host that delegates, a helper that gathers, and their upstreams."""

    async def start(self, count):
        self.clock = clock.SystemClock()
        self.upstreams = Upstreams(count)
        await self.upstreams.start()
        self.channel = exchanges.ExchangeChannel(names=NAMES, clock=self.clock)
        self.gatherer = delegation_server.DelegationServer(
            channel=self.channel, may_send=self._may_send, clock=self.clock
        )
        self.checked_teams = []
        self.sends_left = math.inf
        self.server = http_peers.HttpPeerServer(
            handlers_by_method={
                **self.gatherer.handlers_by_method,
                delegation_server.RELEASE_METHOD: self._release,
            },
            clock=self.clock,
        )
        self.released = asyncio.Event()
        self.address = await self.server.start("127.0.0.1", 0)
        self.peer_client = http_peers.HttpPeerClient(clock=self.clock)
        self.sink = ReportSink()
        self.delegating = delegation_client.DelegationClient(
            host_id="h-0", channel=self.peer_client, sink=self.sink, clock=self.clock
        )

    def _may_send(self, team):
        """Return whether the helper's lease is valid; each check uses up one send."""
        self.checked_teams.append(team)
        if not team:
            return True
        self.sends_left -= 1
        return self.sends_left >= 0

    def delegate(
        self, *, time_left_s=TIME_LEFT_S, report_after_s=REPORT_AFTER_S, team=""
    ):
        action = events.Delegate(
            number=1,
            address=self.address,
            sends=tuple(
                events.Send(
                    attempt=number,
                    number=1,
                    upstream_id=f"u-{number}",
                    address=address,
                    time_left=time_left_s,
                    connections=1,
                )
                for number, address in enumerate(self.upstreams.addresses)
            ),
            report_after=report_after_s,
            top_records=2,
        )
        request = http.Request(
            method="GET",
            target="/sweep/1",
            path="/sweep/1",
            parameters={},
            headers=http.Headers(),
            body=b"",
            peer="",
        )
        headers = [*HEADERS, (NAMES.team, team)] if team else HEADERS
        self.delegating.start(action, request, request_id="r-1", headers=headers)

    async def _release(self, body):
        reply = await self.gatherer.handle_release(body)
        self.released.set()
        return reply

    async def stop(self):
        await self.delegating.close()
        await self.peer_client.close()
        await self.server.stop(NO_GRACE)
        await self.channel.close()
        await self.upstreams.stop()


NO_GRACE = datetime.timedelta()


def run_scenario(count, scenario):
    """Run an asynchronous scenario against a helper with ``count`` upstreams."""

    async def run():
        setup = HelperSetup()
        await setup.start(count)
        try:
            await scenario(setup)
        finally:
            await setup.stop()
        return setup

    return asyncio.run(run())
