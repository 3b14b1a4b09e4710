"""Calls of an entry host to the recorders of idempotency keys."""

import asyncio
import collections
import typing
from collections import abc

from greengagehaven import exceptions, log
from greengagehaven.coordination import events, peers
from greengagehaven.coordination.idempotency import claimant, recorder, status
from greengagehaven.daemons import recorder_host
from greengagehaven.protocol import claims, codec, search

CALL_TIMEOUT_S = 0.8
MAX_CALLS = 4
MAX_BATCH = 256

StatusLookup = typing.Callable[[str, str], search.RequestStatus]

_OnReply = typing.Callable[[claims.RecorderReply | None], None]


class ClaimCalls:
    """Sends the core's requests to the recorders and submits their replies.

    While a recorder has ``MAX_CALLS`` calls in flight, further requests to it are
    queued and sent in batches, so that a burst costs it few calls and few disk syncs.

    :param channel: calls to other hosts.
    :param addresses_by_id: peer address of each recorder of the fixed set.
    :param submit: passes an event to the core.
    :param request_status: returns the status of a key if there are no recorders,
        because the host is the only one.
    """

    def __init__(
        self,
        *,
        channel: peers.PeerChannel,
        addresses_by_id: abc.Mapping[str, str],
        submit: typing.Callable[[events.Event], None],
        request_status: StatusLookup | None = None,
    ) -> None:
        self._queues_by_id = {
            recorder_id: _RecorderQueue(channel=channel, address=address)
            for recorder_id, address in addresses_by_id.items()
        }
        self._submit = submit
        self._request_status = request_status

    @property
    def recorder_ids(self) -> frozenset[str]:
        """Return the ids of the fixed set of recorders."""
        return frozenset(self._queues_by_id)

    def ask(self, action: events.SendRecorderRequest) -> None:
        """Send a request of the core; the reply is submitted as an event."""

        def on_reply(reply: claims.RecorderReply | None) -> None:
            event = events.RecorderReplied(
                recorder_id=action.recorder_id, request=action.request, reply=reply
            )
            self._submit(event)

        self._queues_by_id[action.recorder_id].ask(action.request, on_reply)

    async def status_of(self, subscriber_id: str, key: str) -> search.RequestStatus:
        """Return the status of the request with a subscriber's idempotency key.

        :raises NotFoundError: no request with this key is known.
        """
        if not self._queues_by_id and self._request_status is not None:
            return self._request_status(subscriber_id, key)
        request = claims.Lookup(
            recorders=recorder.recorder_set_name(self.recorder_ids),
            record_id=claimant.record_id(subscriber_id, key),
        )
        loop = asyncio.get_running_loop()
        futures = []
        for queue in self._queues_by_id.values():
            future = loop.create_future()
            queue.ask(request, _resolve(future))
            futures.append(future)
        replies = [reply for reply in await asyncio.gather(*futures) if reply]
        return status.build_status(key, replies, recorder_count=len(futures))

    async def close(self) -> None:
        """Cancel the calls in flight."""
        for queue in self._queues_by_id.values():
            await queue.close()


class _RecorderQueue:
    """Requests to one recorder: some in flight, the rest queued in order."""

    def __init__(self, *, channel: peers.PeerChannel, address: str) -> None:
        self._channel = channel
        self._address = address
        self._queued: collections.deque[tuple[claims.RecorderRequest, _OnReply]] = (
            collections.deque()
        )
        self._calls: set[asyncio.Task[None]] = set()

    def ask(self, request: claims.RecorderRequest, on_reply: _OnReply) -> None:
        """Send a request; ``on_reply`` is called once, with ``None`` on failure."""
        self._queued.append((request, on_reply))
        if len(self._calls) < MAX_CALLS:
            task = asyncio.get_running_loop().create_task(self._send_batches())
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def close(self) -> None:
        """Cancel the calls in flight, without calling ``on_reply``."""
        calls = list(self._calls)
        for task in calls:
            task.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    async def _send_batches(self) -> None:
        while self._queued:
            count = min(MAX_BATCH, len(self._queued))
            batch = [self._queued.popleft() for _ in range(count)]
            replies = await self._call([request for request, _ in batch])
            for (_, on_reply), reply in zip(batch, replies, strict=True):
                on_reply(reply)

    async def _call(
        self, requests: list[claims.RecorderRequest]
    ) -> abc.Sequence[claims.RecorderReply | None]:
        failed = [None] * len(requests)
        body = codec.encode_msgpack(requests)
        try:
            data = await self._channel.call(
                self._address, recorder_host.CLAIMS_METHOD, body, timeout=CALL_TIMEOUT_S
            )
            replies = codec.decode_msgpack(data, list[claims.RecorderReply])
        except (exceptions.PeerError, exceptions.InvalidRequestError) as error:
            log.debug("recorder_unreachable", address=self._address, detail=str(error))
            return failed
        return replies if len(replies) == len(requests) else failed


def _resolve(future: asyncio.Future) -> _OnReply:
    def on_reply(reply: claims.RecorderReply | None) -> None:
        if not future.done():
            future.set_result(reply)

    return on_reply
