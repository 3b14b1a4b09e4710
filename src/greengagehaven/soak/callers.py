"""Load of a soak: searches, and billed orders that are retried after a failure."""

import asyncio
import datetime
import random
from collections import abc

import greengagehaven
from greengagehaven import client, exceptions
from greengagehaven.soak import invariants

_TIMEOUT = datetime.timedelta(seconds=3)
_MAX_PAUSE_S = 0.05
_ORDER_SHARE = 0.3
_MAX_ATTEMPTS = 4
_COMPLETE_SWEEPS_FOR_RECOVERY = 10
_API_KEY = "demo-key"


class Callers:
    """Concurrent callers that send sweeps and orders to random entry hosts.

    :param urls_by_id: URLs of the entry hosts' fault proxies.
    :param services: services that every sweep searches; orders go to one of them.
    :param checker: receives the answers and failures.
    :param is_planned: returns whether a planned stop is the only fault that affects
        a host now.
    :param seed: of the random choices.
    """

    def __init__(
        self,
        *,
        urls_by_id: abc.Mapping[str, str],
        services: abc.Sequence[str],
        checker: invariants.InvariantChecker,
        is_planned: abc.Callable[[str], bool],
        seed: int,
    ) -> None:
        self._urls_by_id = urls_by_id
        self._services = list(services)
        self._checker = checker
        self._is_planned = is_planned
        self._seed = seed
        self._tasks: list[asyncio.Task[None]] = []
        self._is_stopping = False
        self._order_count = 0

    def start(self, count: int) -> None:
        """Start a number of callers, which send requests until :meth:`stop`."""
        for number in range(count):
            rng = random.Random(f"{self._seed}/{number}")
            self._tasks.append(asyncio.ensure_future(self._send_forever(rng)))

    async def stop(self) -> None:
        """Let every caller finish what it has sent, and wait until all have ended.

        An order that was cancelled could have run without a reply to its last attempt.
        """
        self._is_stopping = True
        await asyncio.gather(*self._tasks)

    async def wait_for_recovery(self, seconds: float) -> bool:
        """Return whether sweeps are answered completely again within a time.

        :param seconds: maximum wait.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        complete_in_row = 0
        while loop.time() < deadline:
            for host_id in self._urls_by_id:
                is_complete = await self._sweep(host_id)
                complete_in_row = complete_in_row + 1 if is_complete else 0
                if complete_in_row >= _COMPLETE_SWEEPS_FOR_RECOVERY:
                    return True
            await asyncio.sleep(_MAX_PAUSE_S)
        return False

    async def _send_forever(self, rng: random.Random) -> None:
        while not self._is_stopping:
            host_id = rng.choice(list(self._urls_by_id))
            if rng.random() < _ORDER_SHARE:
                await self._order(rng)
            else:
                await self._sweep(host_id)
            await asyncio.sleep(_MAX_PAUSE_S * rng.random())

    async def _sweep(self, host_id: str) -> bool:
        """Search all services; return whether the answer is complete."""
        services = self._services
        is_planned = self._is_planned(host_id)
        try:
            answer = await greengagehaven.search(
                self._urls_by_id[host_id],
                services,
                "sweep",
                key=_API_KEY,
                timeout=_TIMEOUT,
            )
        except exceptions.ConnectionLostError as error:
            # The host had accepted the request, and no fault but its planned stop was
            # active before and after, so its graceful shutdown cut the request off.
            if is_planned and self._is_planned(host_id):
                self._checker.record_cut_off(host_id, error)
            return False
        except exceptions.GreengagehavenError:
            self._checker.counts["refused"] += 1
            return False
        self._checker.check_answer(answer, services)
        return answer.coverage.complete

    async def _order(self, rng: random.Random) -> None:
        """Send one order, and again to random hosts until it is answered."""
        self._order_count += 1
        order = f"order-{self._seed}-{self._order_count}"
        service = rng.choice(self._services)
        query = {"key": f"{service}:{rng.randrange(50)}", "order": order}
        for _ in range(_MAX_ATTEMPTS):
            host_id = rng.choice(list(self._urls_by_id))
            error: Exception | None = None
            try:
                await greengagehaven.search(
                    self._urls_by_id[host_id],
                    [service],
                    "retire",
                    query,
                    key=_API_KEY,
                    idempotency_key=order,
                    timeout=_TIMEOUT,
                )
            except exceptions.ConnectError:
                continue
            except exceptions.GreengagehavenError as failure:
                error = failure
            attempt = f"{host_id} {_read_request_id(error)}"
            self._checker.record_order(order, error, attempt=attempt)
            if error is None:
                return
            await asyncio.sleep(_MAX_PAUSE_S)


def _read_request_id(error: Exception | None) -> str:
    """Return the id that the host gave a failed request, empty if it sent none."""
    reply = getattr(error, "response", None)
    if reply is None:
        return ""
    return client.read_problem(reply).request_id or ""
