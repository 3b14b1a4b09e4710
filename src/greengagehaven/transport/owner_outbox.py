"""Batches messages from one host to another host's owner channel into few calls."""

import asyncio
import collections
import typing

from greengagehaven import exceptions, log
from greengagehaven.coordination import peers
from greengagehaven.protocol import codec, owner, upstream

METHOD = "owner/exchange"
CALL_TIMEOUT_S = 1.0
MAX_CONCURRENT_CALLS = 4
MAX_ROW_BYTES_PER_CALL = 1_000_000
MAX_SEND_ATTEMPTS = 3

OnLost = typing.Callable[[list[upstream.SubRequest], str], None]


class OwnerOutbox:
    """Queue of messages for one other host, sent in batches.

    At most ``MAX_CONCURRENT_CALLS`` calls run at once. Messages queued meanwhile are
    sent together in the next call, so the busier the hosts are, the more messages
    share the cost of a call.

    :param host_id: id of this host.
    :param channel: sends calls to other hosts.
    :param address_of: returns ``IP:PORT`` of the other host's peer server, or
        ``None`` while it is not known.
    :param monotonic: returns the monotonic time of the deadlines, in seconds.
    :param on_lost: called with sub-requests that may or may not have arrived, and
        the error.
    """

    def __init__(
        self,
        *,
        host_id: str,
        channel: peers.PeerChannel,
        address_of: typing.Callable[[], str | None],
        monotonic: typing.Callable[[], float],
        on_lost: OnLost,
    ) -> None:
        self._host_id = host_id
        self._channel = channel
        self._address_of = address_of
        self._monotonic = monotonic
        self._on_lost = on_lost
        self._sub_requests: list[upstream.SubRequest] = []
        self._cancels: list[tuple[str, int]] = []
        self._replied: collections.deque[owner.RepliedItem] = collections.deque()
        self._failed: list[upstream.Failed] = []
        self._calls: set[asyncio.Task] = set()
        self._is_scheduled = False

    @property
    def is_idle(self) -> bool:
        """Return whether no message is queued and no call is in flight."""
        return not self._calls and not self._has_queued

    @property
    def _has_queued(self) -> bool:
        return bool(
            self._sub_requests or self._cancels or self._replied or self._failed
        )

    def add_sub_request(self, sub_request: upstream.SubRequest) -> None:
        """Queue a sub-request for the next call."""
        self._sub_requests.append(sub_request)
        self._schedule()

    def cancel(self, request_id: str, attempt: int) -> bool:
        """Cancel a sub-request.

        :return: whether it was still queued. Otherwise, a cancellation is queued.
        """
        for index, sub_request in enumerate(self._sub_requests):
            if sub_request.id == (request_id, attempt):
                del self._sub_requests[index]
                return True
        self._cancels.append((request_id, attempt))
        self._schedule()
        return False

    def add_outcome(self, outcome: upstream.Outcome) -> None:
        """Queue an outcome for the next call."""
        if isinstance(outcome, upstream.Replied):
            self._replied.append(owner.write_reply(outcome))
        else:
            self._failed.append(outcome)
        self._schedule()

    def close(self) -> None:
        """Cancel the calls in flight."""
        for call in self._calls:
            call.cancel()

    def _schedule(self) -> None:
        if not self._is_scheduled and len(self._calls) < MAX_CONCURRENT_CALLS:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._is_scheduled = False
        if not self._has_queued:
            return
        sub_requests, self._sub_requests = self._sub_requests, []
        cancels, self._cancels = self._cancels, []
        failed, self._failed = self._failed, []
        batch = owner.OwnerBatch(
            host_id=self._host_id,
            groups=owner.write_groups(sub_requests, self._monotonic()),
            cancels=tuple(cancels),
            replied=self._pop_replied(),
            failed=tuple(failed),
        )
        call = asyncio.get_running_loop().create_task(self._call(batch, sub_requests))
        self._calls.add(call)
        call.add_done_callback(self._on_call_done)
        if self._replied:
            self._schedule()

    def _pop_replied(self) -> tuple[owner.RepliedItem, ...]:
        items: list[owner.RepliedItem] = []
        size = 0
        while self._replied and size < MAX_ROW_BYTES_PER_CALL:
            item = self._replied.popleft()
            size += sum(len(row) for row in item.rows)
            items.append(item)
        return tuple(items)

    def _on_call_done(self, call: asyncio.Task) -> None:
        self._calls.discard(call)
        if self._has_queued:
            self._schedule()

    async def _call(
        self, batch: owner.OwnerBatch, sub_requests: list[upstream.SubRequest]
    ) -> None:
        body = codec.encode_msgpack(batch)
        for attempt in range(1, MAX_SEND_ATTEMPTS + 1):
            address = self._address_of()
            try:
                if address is None:
                    raise exceptions.PeerError("peer address is unknown")
                await self._channel.call(address, METHOD, body, timeout=CALL_TIMEOUT_S)
            except exceptions.PeerError as error:
                log.warning("owner_call_failed", address=address, detail=error)
                if sub_requests:
                    self._on_lost(sub_requests, str(error))
                    sub_requests = []
                # Cancellations and outcomes are idempotent and are sent again.
                # Sub-requests are not, as the first copy may be running.
                batch = owner.OwnerBatch(
                    host_id=batch.host_id,
                    cancels=batch.cancels,
                    replied=batch.replied,
                    failed=batch.failed,
                )
                body = codec.encode_msgpack(batch)
                if not (batch.cancels or batch.replied or batch.failed):
                    return
                await asyncio.sleep(CALL_TIMEOUT_S * attempt / 10)
            else:
                return
