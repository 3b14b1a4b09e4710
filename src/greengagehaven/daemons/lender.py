"""Calls between entry hosts that lend each other extra attempts."""

import asyncio
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import peers
from greengagehaven.coordination.routing import borrowing, events, extra_attempt_budget
from greengagehaven.protocol import codec, lending

LEND_METHOD = "budget/lend"


class Lender:
    """Lends extra attempts to other entry hosts and borrows from them.

    :param channel: calls to other hosts.
    :param lend: takes a service for each extra attempt that is wanted, and returns a
        service for each that is lent.
    :param on_loan: called with the result of each call of this host.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        channel: peers.PeerChannel,
        lend: abc.Callable[[tuple[str, ...]], tuple[str, ...]],
        on_loan: abc.Callable[[events.LoanReceived], None],
        clock: clocks.Clock,
    ) -> None:
        self._channel = channel
        self._lend = lend
        self._on_loan = on_loan
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return the handler of each method."""
        return {LEND_METHOD: self.handle}

    async def handle(self, body: bytes) -> bytes:
        """Handle a loan request from another host."""
        request = codec.decode_msgpack(body, lending.LoanRequest)
        services = self._lend(request.services)
        log.info("lent", wanted=len(request.services), lent=len(services))
        return codec.encode_msgpack(lending.Loan(services=services))

    def borrow(self, borrow: events.RequestLoan) -> None:
        """Request a loan from another host."""
        task = asyncio.ensure_future(self._borrow(borrow))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel the calls in flight."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _borrow(self, borrow: events.RequestLoan) -> None:
        # Counted from the request on, so that the loan ends here before it does there.
        expires_at = self._clock.monotonic() + extra_attempt_budget.LOAN_LIFETIME_S
        message = lending.LoanRequest(services=borrow.services)
        services: tuple[str, ...] = ()
        detail = ""
        try:
            data = await self._channel.call(
                borrow.address,
                LEND_METHOD,
                codec.encode_msgpack(message),
                timeout=borrowing.LOAN_TIMEOUT_S,
            )
            services = codec.decode_msgpack(data, lending.Loan).services
        except (exceptions.PeerError, exceptions.InvalidRequestError) as error:
            detail = error.detail
        log.info(
            "borrowed",
            address=borrow.address,
            wanted=len(borrow.services),
            borrowed=len(services),
            error=detail,
        )
        self._on_loan(
            events.LoanReceived(
                number=borrow.number, services=services, until=expires_at
            )
        )
