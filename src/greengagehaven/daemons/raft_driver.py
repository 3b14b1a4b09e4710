"""Runs one member of the replicated log on the loop: timers, calls, waiters."""

import asyncio
import collections
import contextlib
import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import peers
from greengagehaven.coordination.raft import events, messages, replica

RAFT_METHOD = "control/raft"
CALL_TIMEOUT_S = 1.0
OVERLAP_S = 0.15
MAX_CALLS = 4
MAX_QUEUED = 64
MAX_CALL_BYTES = 1024 * 1024
RETRY_PAUSE_S = 0.05
DECISION_TIMEOUT_S = 5.0


class RaftDriver:
    """Carries messages between the members and decisions to whoever waits.

    :param replica: the member.
    :param channel: calls to other hosts.
    :param clock: source of time.
    :param on_outcome: called after every step that may have changed state.
    :param on_failure: called once when the disk failed and the member halted.
    """

    def __init__(
        self,
        *,
        replica: replica.Replica,
        channel: peers.PeerChannel,
        clock: clocks.Clock,
        on_outcome: abc.Callable[[], None],
        on_failure: abc.Callable[[exceptions.StorageError], None],
    ) -> None:
        self.replica = replica
        self._channel = channel
        self._clock = clock
        self._on_outcome = on_outcome
        self._on_failure = on_failure
        self._outboxes_by_id: dict[str, _Outbox] = {}
        self._waiters_by_number: dict[int, asyncio.Future[typing.Any]] = {}
        self._number = 0
        self._proposed: list[events.Event] = []
        self._wake = asyncio.Event()
        self._timer: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to keep time."""
        self._timer = asyncio.ensure_future(self._keep_time())

    async def close(self) -> None:
        """Stop; whoever waits is told that the outcome is not known."""
        if self._timer is not None:
            self._timer.cancel()
            await asyncio.gather(self._timer, return_exceptions=True)
        outboxes = self._outboxes_by_id.values()
        await asyncio.gather(*(outbox.close() for outbox in outboxes))
        self._fail_waiters(exceptions.QuorumLostError("this host is stopping"))

    async def propose(self, payload: bytes) -> typing.Any:
        """Have a payload committed and return the machine's result.

        :raises NotLeaderError: this member does not lead, or no longer.
        :raises QuorumLostError: no decision came in time; it may still come.
        """
        number, waiter = self._new_waiter()
        event = events.PayloadProposed(proposal_id=number, payload=payload)
        if not self._proposed:
            # Proposals that arrive in one turn of the loop share one sync.
            asyncio.get_running_loop().call_soon(self._flush_proposed)
        self._proposed.append(event)
        return await self._wait(number, waiter)

    async def read(self) -> None:
        """Return once the state here is known to be the newest.

        :raises NotLeaderError: this member does not lead.
        :raises QuorumLostError: no quorum answered in time.
        """
        number, waiter = self._new_waiter()
        self.step(events.ReadRequested(read_id=number))
        await self._wait(number, waiter)

    async def handle(self, body: bytes) -> bytes:
        """Take messages of another member and return those for it."""
        received = messages.decode(body)
        sender = received[0].sender if received else ""
        batch = [events.MessageReceived(message=message) for message in received]
        return messages.encode(tuple(self.step(*batch, reply_to=sender)))

    def step(self, *batch: events.Event, reply_to: str = "") -> list[messages.Message]:
        """Drive the member; return messages for ``reply_to``, send the others."""
        try:
            outcomes = self.replica.step(*batch)
        except exceptions.StorageError as error:
            self._halt(error)
            return []
        replies = []
        for outcome in outcomes:
            match outcome:
                case replica.Decided():
                    self._settle(outcome.proposal_id, outcome.result, outcome.error)
                case replica.ReadDecided():
                    self._settle(outcome.read_id, None, outcome.error)
                case events.RoleChanged():
                    log.info(
                        "control_role",
                        member=self.replica.raft.member_id,
                        role=outcome.role,
                        term=outcome.term,
                        leader=outcome.leader_id,
                    )
                case message if message.receiver == reply_to:
                    replies.append(message)
                case message:
                    self._outbox_of(message.receiver).put(message)
        self._wake.set()
        self._on_outcome()
        return replies

    def _new_waiter(self) -> tuple[int, asyncio.Future[typing.Any]]:
        if self.replica.failure is not None:
            raise exceptions.StorageFailedError(self.replica.failure.detail)
        self._number += 1
        waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_number[self._number] = waiter
        return self._number, waiter

    async def _wait(self, number: int, waiter: asyncio.Future[typing.Any]):
        try:
            async with asyncio.timeout(DECISION_TIMEOUT_S):
                return await waiter
        except TimeoutError as error:
            raise exceptions.QuorumLostError(
                "no quorum of control hosts answered; the change may still be "
                "accepted, resend it with the same change id"
            ) from error
        finally:
            self._waiters_by_number.pop(number, None)

    def _settle(self, number: int, result: typing.Any, error: Exception | None) -> None:
        waiter = self._waiters_by_number.get(number)
        if waiter is None or waiter.done():
            return
        if error is None:
            waiter.set_result(result)
        else:
            waiter.set_exception(error)

    def _flush_proposed(self) -> None:
        batch, self._proposed = self._proposed, []
        self.step(*batch)

    def _halt(self, error: exceptions.StorageError) -> None:
        self._fail_waiters(exceptions.StorageFailedError(error.detail))
        self._on_failure(error)

    def _fail_waiters(self, error: exceptions.ControlError) -> None:
        for waiter in self._waiters_by_number.values():
            if not waiter.done():
                waiter.set_exception(error)

    def _outbox_of(self, member_id: str) -> "_Outbox":
        outbox = self._outboxes_by_id.get(member_id)
        if outbox is None:
            outbox = _Outbox(driver=self, channel=self._channel, member_id=member_id)
            self._outboxes_by_id[member_id] = outbox
        return outbox

    def address_of(self, member_id: str) -> str | None:
        """Return where a member is reached, ``None`` where it is unknown."""
        membership = self.replica.raft.log.membership
        member = membership.members_by_id.get(member_id)
        return None if member is None else member.address

    async def _keep_time(self) -> None:
        while self.replica.failure is None:
            self._wake.clear()
            delay = self.replica.raft.next_wake - self._clock.monotonic()
            if delay > 0:
                # A step may bring the next moment forward as well as put it off.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(delay):
                        await self._wake.wait()
                    continue
            self.step(events.TimeReached())


class _Outbox:
    """Messages on their way to one member."""

    def __init__(
        self, *, driver: RaftDriver, channel: peers.PeerChannel, member_id: str
    ) -> None:
        self._driver = driver
        self._channel = channel
        self._member_id = member_id
        # A member that is cut off must not pile up messages without end. Lost
        # ones are sent again by the next heartbeat.
        self._queue: collections.deque[messages.Message] = collections.deque(
            maxlen=MAX_QUEUED
        )
        self._filled = asyncio.Event()
        self._calls: set[asyncio.Task[None]] = set()
        self._task = asyncio.ensure_future(self._send_forever())

    def put(self, message: messages.Message) -> None:
        """Send a message after those before it."""
        self._queue.append(message)
        self._filled.set()

    def _take(self) -> tuple[messages.Message, ...]:
        """Take as many messages as fit into one call."""
        batch: list[messages.Message] = []
        size = 0
        while self._queue:
            size += messages.size_of(self._queue[0])
            if batch and size > MAX_CALL_BYTES:
                break
            batch.append(self._queue.popleft())
        if not self._queue:
            self._filled.clear()
        return tuple(batch)

    async def close(self) -> None:
        """Give up on calls under way and what waits."""
        tasks = [self._task, *self._calls]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_forever(self) -> None:
        while True:
            await self._filled.wait()
            batch = self._take()
            address = self._driver.address_of(self._member_id)
            if not batch or address is None:
                continue
            call = asyncio.ensure_future(self._call(address, batch))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
            # One after another while answers come. A call that hangs must not
            # hold back the heartbeats behind it until its timeout, which is as
            # long as an election's: the member would ask for votes.
            await asyncio.wait({call}, timeout=OVERLAP_S)
            if len(self._calls) >= MAX_CALLS:
                await asyncio.wait(self._calls, return_when=asyncio.FIRST_COMPLETED)

    async def _call(self, address: str, batch: tuple[messages.Message, ...]) -> None:
        try:
            data = await self._channel.call(
                address, RAFT_METHOD, messages.encode(batch), timeout=CALL_TIMEOUT_S
            )
            replies = messages.decode(data)
        except (exceptions.PeerError, exceptions.InvalidRequestError) as error:
            log.debug("raft_call_failed", peer=address, error=error.detail)
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        self._driver.step(*(events.MessageReceived(message=reply) for reply in replies))
