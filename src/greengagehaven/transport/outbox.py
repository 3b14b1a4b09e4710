"""Gathers what one host has for another and carries it in few calls."""

import asyncio
import collections
import typing

from greengagehaven import exceptions, log
from greengagehaven.coordination import peers
from greengagehaven.protocol import codec, owner, upstream

METHOD = "owner/exchange"
CALL_TIMEOUT_S = 1.0
MAX_CALLS = 4
MAX_ROW_BYTES = 1_000_000
MAX_SENDS = 3

Lost = typing.Callable[[list[upstream.SubRequest], str], None]


class Outbox:
    """Messages for one other host.

    While calls are under way, what comes up gathers and leaves together with
    the next one, so that the cost of a call is shared the more the busier the
    hosts are.

    :param host_id: this host.
    :param address_of: returns ``IP:PORT`` of the other host's peer server, or
        ``None`` while it is not known.
    :param monotonic: reads the clock of the deadlines.
    :param lost: takes sub-requests of which nobody knows whether they arrived.
    """

    def __init__(
        self,
        *,
        host_id: str,
        channel: peers.PeerChannel,
        address_of: typing.Callable[[], str | None],
        monotonic: typing.Callable[[], float],
        lost: Lost,
    ) -> None:
        self._host_id = host_id
        self._channel = channel
        self._address_of = address_of
        self._monotonic = monotonic
        self._lost = lost
        self._sub_requests: list[upstream.SubRequest] = []
        self._cancels: list[tuple[str, int]] = []
        self._replied: collections.deque[owner.RepliedItem] = collections.deque()
        self._failed: list[upstream.Failed] = []
        self._calls: set[asyncio.Task] = set()
        self._is_scheduled = False

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing waits and no call is under way."""
        return not self._calls and not self._has_pending

    @property
    def _has_pending(self) -> bool:
        return bool(
            self._sub_requests or self._cancels or self._replied or self._failed
        )

    def offer(self, sub_request: upstream.SubRequest) -> None:
        """Send a sub-request with the next call."""
        self._sub_requests.append(sub_request)
        self._schedule()

    def cancel(self, request_id: str, attempt: int) -> bool:
        """Take back a sub-request; return whether it had not left yet."""
        for place, sub_request in enumerate(self._sub_requests):
            if sub_request.id == (request_id, attempt):
                del self._sub_requests[place]
                return True
        self._cancels.append((request_id, attempt))
        self._schedule()
        return False

    def report(self, outcome: upstream.Outcome) -> None:
        """Send an outcome with the next call."""
        if isinstance(outcome, upstream.Replied):
            self._replied.append(owner.write_reply(outcome))
        else:
            self._failed.append(outcome)
        self._schedule()

    def close(self) -> None:
        """Stop sending."""
        for call in self._calls:
            call.cancel()

    def _schedule(self) -> None:
        if not self._is_scheduled and len(self._calls) < MAX_CALLS:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._is_scheduled = False
        if not self._has_pending:
            return
        sub_requests, self._sub_requests = self._sub_requests, []
        cancels, self._cancels = self._cancels, []
        failed, self._failed = self._failed, []
        parcel = owner.Parcel(
            host_id=self._host_id,
            groups=owner.write_groups(sub_requests, self._monotonic()),
            cancels=tuple(cancels),
            replied=self._take_replied(),
            failed=tuple(failed),
        )
        call = asyncio.get_running_loop().create_task(self._call(parcel, sub_requests))
        self._calls.add(call)
        call.add_done_callback(self._ended)
        if self._replied:
            self._schedule()

    def _take_replied(self) -> tuple[owner.RepliedItem, ...]:
        taken: list[owner.RepliedItem] = []
        size = 0
        while self._replied and size < MAX_ROW_BYTES:
            item = self._replied.popleft()
            size += sum(len(row) for row in item.rows)
            taken.append(item)
        return tuple(taken)

    def _ended(self, call: asyncio.Task) -> None:
        self._calls.discard(call)
        if self._has_pending:
            self._schedule()

    async def _call(
        self, parcel: owner.Parcel, sub_requests: list[upstream.SubRequest]
    ) -> None:
        body = codec.encode_msgpack(parcel)
        for sends in range(1, MAX_SENDS + 1):
            address = self._address_of()
            try:
                if address is None:
                    raise exceptions.PeerError("its address is not known")
                await self._channel.call(address, METHOD, body, timeout=CALL_TIMEOUT_S)
            except exceptions.PeerError as error:
                log.warning("owner_call_failed", address=address, detail=error)
                if sub_requests:
                    self._lost(sub_requests, str(error))
                    sub_requests = []
                # Outcomes may be sent again: a second copy changes nothing.
                # Sub-requests may not: the first copy may be running.
                parcel = owner.Parcel(
                    host_id=parcel.host_id,
                    cancels=parcel.cancels,
                    replied=parcel.replied,
                    failed=parcel.failed,
                )
                body = codec.encode_msgpack(parcel)
                if not (parcel.cancels or parcel.replied or parcel.failed):
                    return
                await asyncio.sleep(CALL_TIMEOUT_S * sends / 10)
            else:
                return
