"""Measures a team's flood over several entry hosts, without and with usage caps.

Runs real control and entry daemons over loopback in one process. Requests are counted
where they run, at the upstream.
"""

import asyncio
import bisect
import contextlib
import dataclasses
import datetime
import random
import tempfile
import typing

from greengagehaven import clock as clocks
from greengagehaven import exceptions
from greengagehaven.coordination.raft import timing
from greengagehaven.coordination.routing import router
from greengagehaven.coordination.shared_budgets import demand_shares
from greengagehaven.daemons import (
    control_host,
    gateway,
    gateway_settings,
    registry_daemon,
)
from greengagehaven.protocol import header_names, watching
from greengagehaven.state import routes, teams
from greengagehaven.transport import free_ports, http, http_client, http_server

NAME = "usage-caps"
ABOUT = "seven times a team's usual rate, over several entry hosts"
CAPS = demand_shares.CapSettings(window=5.0, overage=0.1, slack=20.0)
KEY = "measure"
TEAM = teams.Team(
    id="north",
    key_digests=(teams.digest_of_key(KEY.encode()),),
    rate=20.0,
    burst=20.0,
)
USUAL_RATE = 14.0
"""Requests per second over all hosts, within the team's rate."""

FLOOD_FACTOR = 7
CALM_S = 4.0
FLOOD_S = 6.5
"""Seconds of the flood, longer than the window of the caps."""

CONTROL_HOST_COUNT = 3
HOST = "measure.example"
SERVICE = "measured"
UPSTREAM_ID = "u-1"
SLOTS = 200
TIMEOUT = datetime.timedelta(seconds=5)
START_TIMEOUT_S = 20.0
POLL_S = 0.05
SETTLE_S = 2.0
"""Seconds for control hosts to give totals after their start (1 s) and for entry hosts
to ask for them (0.5 s). Requests sent while starting leave the window after it."""

HEADERS = header_names.HeaderNames()


def make_table(number: int = 1) -> routes.RoutingTable:
    """Return a routing table with one route and the measured team."""
    route = routes.Route(
        name="measured",
        host=HOST,
        path_prefix="/",
        services=(routes.WeightedService(service=SERVICE, weight=1.0),),
        is_idempotent=True,
        attempts=1,
        timeout=2.0,
        objective=1.0,
    )
    return routes.RoutingTable(
        number=number,
        routes=(route,),
        limits_by_service={SERVICE: routes.ServiceLimits(connections=SLOTS)},
        caller_limits=routes.CallerLimits(),
        teams=teams.TeamDirectory((TEAM,)),
    )


class Bench:
    """Control hosts, entry hosts and one upstream on the running event loop.

    :param caps: caps of the entry hosts, ``None`` for the baseline.
    """

    def __init__(
        self,
        *,
        folder: str,
        hosts: int,
        caps: demand_shares.CapSettings | None,
        rng: random.Random,
    ) -> None:
        self.clock = clocks.SystemClock()
        self.ran_at: list[float] = []
        self._caps = caps
        self._rng = rng
        ports = free_ports.find(2 * CONTROL_HOST_COUNT + 2 * hosts)
        peers = [f"127.0.0.1:{ports.pop()}" for _ in range(CONTROL_HOST_COUNT)]
        self._registrar: typing.Any = None
        self._orders: typing.Any = None
        self._controls = [
            self._make_control(number, peers, f"127.0.0.1:{ports.pop()}", folder)
            for number in range(CONTROL_HOST_COUNT)
        ]
        self.addresses = [f"127.0.0.1:{ports.pop()}" for _ in range(hosts)]
        self._gateways = [
            self._make_gateway(number, address, f"127.0.0.1:{ports.pop()}", peers)
            for number, address in enumerate(self.addresses)
        ]
        self._upstream = http_server.HttpServer(handler=self._answer)
        self.clients = [
            http_client.HttpClient(address=address, clock=self.clock)
            for address in self.addresses
        ]

    async def start(self) -> None:
        """Start all daemons and wait until every entry host serves the team."""
        address = await self._upstream.start()
        for each in (*self._controls, *self._gateways):
            await each.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            await self._put_document()
            await self._registrar.announce(_entry(address))
            for client in self.clients:
                await self._wait_until_served(client)
        await asyncio.sleep(SETTLE_S + CAPS.window)
        self.ran_at.clear()

    async def close(self) -> None:
        """Stop all daemons."""
        for client in self.clients:
            client.close()
        for each in (*self._gateways, *self._controls):
            await each.close()
        await self._upstream.close()

    async def request(self, client: http_client.HttpClient) -> int:
        """Send a request of the team; return the status of the response."""
        headers = {
            "Host": HOST,
            HEADERS.key: KEY,
            HEADERS.request_id: f"m-{self._rng.randrange(2**48):x}",
        }
        reply = await client.request(
            "GET", "/", headers=headers, body=b"", timeout=TIMEOUT
        )
        return reply.status

    async def _wait_until_served(self, client: http_client.HttpClient) -> None:
        while True:
            if await self.request(client) == 200:
                return
            await asyncio.sleep(POLL_S)

    async def _put_document(self) -> None:
        """Put the document in force, and send it again as an operator would.

        An order is refused after 0.9 s, and beside other processes the control hosts
        take longer to join.
        """
        while True:
            if any(each.is_leader for each in self._controls):
                with contextlib.suppress(exceptions.QuorumLostError):
                    await self._orders.put_document(1, b"measured")
                    return
            await asyncio.sleep(POLL_S)

    async def _answer(self, request: http.Request) -> http.Response:
        self.ran_at.append(self.clock.monotonic())
        headers = (
            (HEADERS.request_id, request.headers[HEADERS.request_id]),
            (HEADERS.signature, UPSTREAM_ID),
            (HEADERS.load, f"1,0,{SLOTS}"),
        )
        return http.Response(status=200, body=b"", content_type=None, headers=headers)

    def _make_gateway(
        self, number: int, address: str, ready: str, peers: list[str]
    ) -> gateway.Gateway:
        host_id = f"e{number}"
        options = router.Options(zone="a", host_id=host_id, usage_caps=self._caps)
        return gateway.Gateway(
            settings=gateway_settings.GatewaySettings(
                host_id=host_id,
                zone="a",
                listen=address,
                ready_listen=ready,
                control_addresses=tuple(peers),
                grace=datetime.timedelta(seconds=2),
                router=options,
            ),
            names=HEADERS,
            parse_document=lambda document: make_table(),
            clock=self.clock,
            rng=random.Random(self._rng.random()),
        )

    def _make_control(
        self, number: int, peers: list[str], listen: str, folder: str
    ) -> registry_daemon.RegistryDaemon:
        own = peers[number]
        return registry_daemon.RegistryDaemon(
            settings=control_host.ControlSettings(
                host_id=f"c{number}",
                data_folder=f"{folder}/c{number}",
                peer_address=own,
                peer_addresses=tuple(peer for peer in peers if peer != own),
                bootstrap=True,
                min_voters=CONTROL_HOST_COUNT,
                check_document=lambda document: make_table(),
                service_names=lambda document: frozenset((SERVICE,)),
                raft_timing=timing.Timing(election_min=1.5, election_max=3.0),
            ),
            listen=listen,
            zone="a",
            announce_period=60.0,
            usage_window=None if self._caps is None else self._caps.window,
            make_handler=self._take_interfaces,
            clock=self.clock,
            rng=random.Random(number),
        )

    def _take_interfaces(self, orders: typing.Any, registrar: typing.Any) -> typing.Any:
        self._orders, self._registrar = orders, registrar
        return self._answer


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sent:
    """A request that was sent, and the status of its response."""

    at: float
    status: int


async def measure(*, seed: int = 1, hosts: int = 9) -> dict[str, typing.Any]:
    """Run the flood without and with caps; return the figures."""
    return {
        "scenario": NAME,
        "seed": seed,
        "baseline": await _run(seed, hosts, None),
        "run": await _run(seed, hosts, CAPS),
        "ratios": {},
    }


async def _run(
    seed: int, hosts: int, caps: demand_shares.CapSettings | None
) -> dict[str, float]:
    with tempfile.TemporaryDirectory(prefix="greengagehaven-") as folder:
        rng = random.Random(seed)
        bench = Bench(folder=folder, hosts=max(1, hosts), caps=caps, rng=rng)
        await bench.start()
        try:
            sent = await _send_load(bench, rng)
        finally:
            await bench.close()
    return _evaluate(sent, bench.ran_at)


async def _send_load(bench: Bench, rng: random.Random) -> list[Sent]:
    sent: list[Sent] = []

    async def send() -> None:
        at = bench.clock.monotonic()
        status = await bench.request(rng.choice(bench.clients))
        sent.append(Sent(at=at, status=status))

    tasks = []
    for seconds, rate in (
        (CALM_S, USUAL_RATE),
        (FLOOD_S, FLOOD_FACTOR * USUAL_RATE),
        (CALM_S, USUAL_RATE),
    ):
        end = bench.clock.monotonic() + seconds
        while bench.clock.monotonic() < end:
            tasks.append(asyncio.ensure_future(send()))
            await asyncio.sleep(rng.expovariate(rate))
    await asyncio.gather(*tasks)
    return sent


def _evaluate(sent: list[Sent], ran_at: list[float]) -> dict[str, float]:
    """Return requests above the limit and refusals within it, in sliding windows."""
    limit = CAPS.limit_of(TEAM)
    sent_at, ran_at = sorted(each.at for each in sent), sorted(ran_at)
    most = max(_count(ran_at, at) for at in ran_at)
    refused = [each for each in sent if each.status == 429]
    within = sum(_count(sent_at, each.at) <= limit for each in refused)
    return {
        "requests": len(sent),
        "ran": len(ran_at),
        "refused": len(refused),
        "other_statuses": sum(each.status not in (200, 429) for each in sent),
        "limit": limit,
        "tolerated": limit * (1 + CAPS.overage) + CAPS.slack,
        "most_in_a_window": most,
        "most_over_limit": round(max(0.0, most - limit), 1),
        "refused_within_share": round(within / len(sent), 4),
    }


def _count(moments: list[float], at: float) -> int:
    first = bisect.bisect_right(moments, at - CAPS.window)
    return bisect.bisect_right(moments, at) - first


def _entry(address: str) -> watching.UpstreamEntry:
    return watching.UpstreamEntry(
        id=UPSTREAM_ID,
        incarnation=1,
        sequence=1,
        service=SERVICE,
        address=address,
        availability_zone="a",
        stage=watching.Stage.READY,
        slots=SLOTS,
        cold_left_ms=0,
        version="",
    )
