"""Callers of a soak: they search, order, and order again after a failure."""

import asyncio
import datetime
import random
from collections import abc

import greengagehaven
from greengagehaven import exceptions
from greengagehaven.soak import judge

TIMEOUT = datetime.timedelta(seconds=3)
PAUSE_S = 0.05
ORDER_SHARE = 0.3
MOST_RESENDS = 4
REGAINED_IN_ROW = 10
KEY = "demo-key"


class Callers:
    """Some callers, each over a connection to each host.

    :param urls_by_id: of entry hosts, by the way through their links.
    :param services: that are swept; each holds orders as well.
    :param is_planned: tells whether all that troubles a host now is a planned stop.
    """

    def __init__(
        self,
        *,
        urls_by_id: abc.Mapping[str, str],
        services: abc.Sequence[str],
        judged_by: judge.Judge,
        is_planned: abc.Callable[[str], bool],
        seed: int,
    ) -> None:
        self._urls_by_id = urls_by_id
        self._services = list(services)
        self._judge = judged_by
        self._is_planned = is_planned
        self._seed = seed
        self._tasks: list[asyncio.Task[None]] = []
        self._orders = 0

    def start(self, count: int) -> None:
        """Let so many callers go on until they are stopped."""
        for number in range(count):
            rng = random.Random(f"{self._seed}/{number}")
            self._tasks.append(asyncio.ensure_future(self._call_forever(rng)))

    async def stop(self) -> None:
        """Let every caller finish what it waits for."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def wait_regained(self, seconds: float) -> bool:
        """Tell whether sweeps are answered in full again within a time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        in_row = 0
        while loop.time() < end:
            for host_id in self._urls_by_id:
                is_whole = await self._sweep(host_id)
                in_row = in_row + 1 if is_whole else 0
                if in_row >= REGAINED_IN_ROW:
                    return True
            await asyncio.sleep(PAUSE_S)
        return False

    async def _call_forever(self, rng: random.Random) -> None:
        while True:
            host_id = rng.choice(list(self._urls_by_id))
            if rng.random() < ORDER_SHARE:
                await self._order(rng)
            else:
                await self._sweep(host_id)
            await asyncio.sleep(PAUSE_S * rng.random())

    async def _sweep(self, host_id: str) -> bool:
        """Search all services; tell whether the answer is complete."""
        services = self._services
        is_planned = self._is_planned(host_id)
        try:
            answer = await greengagehaven.search(
                self._urls_by_id[host_id], services, "sweep", key=KEY, timeout=TIMEOUT
            )
        except exceptions.ConnectionLostError as error:
            # The host had read it, and nothing but its planned stop was in the way.
            if is_planned and self._is_planned(host_id):
                self._judge.see_planned_cut(host_id, error)
            return False
        except exceptions.GreengagehavenError:
            self._judge.counts["refused"] += 1
            return False
        self._judge.see_answer(answer, services)
        return answer.coverage.complete

    async def _order(self, rng: random.Random) -> None:
        """Order once, and again at any host until it is answered."""
        self._orders += 1
        order = f"order-{self._seed}-{self._orders}"
        service = rng.choice(self._services)
        query = {"key": f"{service}:{rng.randrange(50)}", "order": order}
        for _ in range(MOST_RESENDS):
            host_id = rng.choice(list(self._urls_by_id))
            error: Exception | None = None
            try:
                await greengagehaven.search(
                    self._urls_by_id[host_id],
                    [service],
                    "retire",
                    query,
                    key=KEY,
                    idempotency_key=order,
                    timeout=TIMEOUT,
                )
            except exceptions.ConnectError:
                continue
            except exceptions.GreengagehavenError as failure:
                error = failure
            self._judge.see_order(order, error)
            if error is None:
                return
            await asyncio.sleep(PAUSE_S)
