"""Calls of an entry host to the recorders of idempotency keys."""

import asyncio
import typing
from collections import abc

from greengagehaven import exceptions, log
from greengagehaven.coordination import events, peers
from greengagehaven.coordination.idempotency import claimant, recorder, status
from greengagehaven.daemons import recorder_host
from greengagehaven.protocol import claims, codec, search

CALL_TIMEOUT_S = 0.8


class ClaimCalls:
    """Carries the core's questions to the recorders and their replies back.

    :param channel: calls to other hosts.
    :param addresses_by_id: peer address of each recorder of the fixed set.
    :param submit: hands an event to the core.
    """

    def __init__(
        self,
        *,
        channel: peers.PeerChannel,
        addresses_by_id: abc.Mapping[str, str],
        submit: typing.Callable[[events.Event], None],
    ) -> None:
        self._channel = channel
        self._addresses_by_id = addresses_by_id
        self._submit = submit
        self._tasks: set[asyncio.Task[None]] = set()

    def ask(self, action: events.AskRecorder) -> None:
        """Carry out an action of the core; the reply comes as an event."""
        task = asyncio.get_running_loop().create_task(self._carry(action))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def status_of(self, subscriber_id: str, key: str) -> search.RequestStatus:
        """Return what became of a subscriber's idempotency key.

        :raises NotFoundError: no request with this key is known.
        """
        request = claims.Lookup(
            recorders=recorder.recorder_set(frozenset(self._addresses_by_id)),
            record_id=claimant.record_id(subscriber_id, key),
        )
        replies = await asyncio.gather(
            *(self._call(each, request) for each in self._addresses_by_id)
        )
        answered = [reply for reply in replies if reply is not None]
        return status.describe(key, answered, recorder_count=len(self._addresses_by_id))

    async def close(self) -> None:
        """Give up on calls under way."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _carry(self, action: events.AskRecorder) -> None:
        reply = await self._call(action.recorder_id, action.request)
        self._submit(
            events.RecorderReplied(
                recorder_id=action.recorder_id, request=action.request, reply=reply
            )
        )

    async def _call(
        self, recorder_id: str, request: claims.RecorderRequest
    ) -> claims.RecorderReply | None:
        address = self._addresses_by_id[recorder_id]
        body = codec.encode_msgpack(request)
        try:
            data = await self._channel.call(
                address, recorder_host.METHOD, body, timeout=CALL_TIMEOUT_S
            )
            return codec.decode_msgpack(data, claims.RecorderReply)
        except (exceptions.PeerError, exceptions.InvalidRequestError) as error:
            log.debug("recorder_unreachable", recorder=recorder_id, detail=str(error))
            return None
