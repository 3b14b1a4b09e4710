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

LookUp = typing.Callable[[str, str], search.RequestStatus]

_OnReply = typing.Callable[[claims.RecorderReply | None], None]


class ClaimCalls:
    """Carries the core's questions to the recorders and their replies back.

    Questions to one recorder that come while it has ``MAX_CALLS`` calls to
    answer travel together, so that a burst costs it few calls and few syncs.

    :param channel: calls to other hosts.
    :param addresses_by_id: peer address of each recorder of the fixed set.
    :param submit: hands an event to the core.
    :param look_up: tells of a key where there are no recorders, because the
        host is alone.
    """

    def __init__(
        self,
        *,
        channel: peers.PeerChannel,
        addresses_by_id: abc.Mapping[str, str],
        submit: typing.Callable[[events.Event], None],
        look_up: LookUp | None = None,
    ) -> None:
        self._lines_by_id = {
            recorder_id: _Line(channel=channel, address=address)
            for recorder_id, address in addresses_by_id.items()
        }
        self._submit = submit
        self._look_up = look_up

    @property
    def recorder_ids(self) -> frozenset[str]:
        """Return the fixed set of recorders."""
        return frozenset(self._lines_by_id)

    def ask(self, action: events.AskRecorder) -> None:
        """Carry out an action of the core; the reply comes as an event."""

        def take(reply: claims.RecorderReply | None) -> None:
            event = events.RecorderReplied(
                recorder_id=action.recorder_id, request=action.request, reply=reply
            )
            self._submit(event)

        self._lines_by_id[action.recorder_id].ask(action.request, take)

    async def status_of(self, subscriber_id: str, key: str) -> search.RequestStatus:
        """Return what became of a subscriber's idempotency key.

        :raises NotFoundError: no request with this key is known.
        """
        if not self._lines_by_id and self._look_up is not None:
            return self._look_up(subscriber_id, key)
        request = claims.Lookup(
            recorders=recorder.recorder_set(self.recorder_ids),
            record_id=claimant.record_id(subscriber_id, key),
        )
        loop = asyncio.get_running_loop()
        futures = []
        for line in self._lines_by_id.values():
            future = loop.create_future()
            line.ask(request, _settle(future))
            futures.append(future)
        replies = [reply for reply in await asyncio.gather(*futures) if reply]
        return status.describe(key, replies, recorder_count=len(futures))

    async def close(self) -> None:
        """Give up on calls under way."""
        for line in self._lines_by_id.values():
            await line.close()


class _Line:
    """Questions to one recorder: some under way, the rest in order."""

    def __init__(self, *, channel: peers.PeerChannel, address: str) -> None:
        self._channel = channel
        self._address = address
        self._waiting: collections.deque[tuple[claims.RecorderRequest, _OnReply]] = (
            collections.deque()
        )
        self._calls: set[asyncio.Task[None]] = set()

    def ask(self, request: claims.RecorderRequest, on_reply: _OnReply) -> None:
        """Send a request; ``on_reply`` is called once, with ``None`` on failure."""
        self._waiting.append((request, on_reply))
        if len(self._calls) < MAX_CALLS:
            task = asyncio.get_running_loop().create_task(self._call_while_any_wait())
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def close(self) -> None:
        """Cancel the calls under way; nobody hears of them."""
        calls = list(self._calls)
        for task in calls:
            task.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    async def _call_while_any_wait(self) -> None:
        while self._waiting:
            count = min(MAX_BATCH, len(self._waiting))
            batch = [self._waiting.popleft() for _ in range(count)]
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
                self._address, recorder_host.METHOD, body, timeout=CALL_TIMEOUT_S
            )
            replies = codec.decode_msgpack(data, list[claims.RecorderReply])
        except (exceptions.PeerError, exceptions.InvalidRequestError) as error:
            log.debug("recorder_unreachable", address=self._address, detail=str(error))
            return failed
        return replies if len(replies) == len(requests) else failed


def _settle(future: asyncio.Future) -> _OnReply:
    def take(reply: claims.RecorderReply | None) -> None:
        if not future.done():
            future.set_result(reply)

    return take
