"""Runs a Raft member on the event loop: timers, peer calls and waiting callers.

The member itself is a state machine without input or output; this module feeds it
messages and timer events and carries out what it asks for.
"""

import asyncio
import collections
import contextlib
import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import peers
from greengagehaven.coordination.raft import events, messages, replica
from greengagehaven.state import records
from greengagehaven.transport import background_tasks

RAFT_METHOD = "control/raft"
CALL_TIMEOUT_S = 1.0
MAX_SEQUENTIAL_WAIT_S = 0.15
MAX_CONCURRENT_CALLS = 4
MAX_QUEUED_MESSAGES = 64
MAX_CALL_BYTES = 1024 * 1024
FAILED_CALL_DELAY_S = 0.05
COMMIT_TIMEOUT_S = 5.0


class RaftDriver:
    """Exchanges messages with other members and returns results to waiting callers.

    :param replica: the Raft member with its storage and state machine.
    :param channel: client for calls to other hosts.
    :param clock: source of time.
    :param on_step: called after every step that may have changed state.
    :param on_failure: called once, after a disk failure has halted the member.
    """

    def __init__(
        self,
        *,
        replica: replica.Replica,
        channel: peers.PeerChannel,
        clock: clocks.Clock,
        on_step: abc.Callable[[], None],
        on_failure: abc.Callable[[exceptions.StorageError], None],
    ) -> None:
        self.replica = replica
        self._channel = channel
        self._clock = clock
        self._on_step = on_step
        self._on_failure = on_failure
        self._outboxes_by_id: dict[str, _Outbox] = {}
        self._waiters_by_number: dict[int, asyncio.Future[typing.Any]] = {}
        self._last_request_number = 0
        self._pending_proposals: list[events.Event] = []
        self._stepped = asyncio.Event()
        self._timer_task: asyncio.Task[None] | None = None
        self._logged_membership: records.Membership | None = None

    def start(self) -> None:
        """Start the timer task."""
        self._timer_task = background_tasks.start(self._run_timer, task="raft_timer")

    async def close(self) -> None:
        """Stop; waiting callers get ``QuorumLostError``: their outcome is unknown."""
        if self._timer_task is not None:
            self._timer_task.cancel()
            await asyncio.gather(self._timer_task, return_exceptions=True)
        outboxes = self._outboxes_by_id.values()
        await asyncio.gather(*(outbox.close() for outbox in outboxes))
        self._fail_waiters(exceptions.QuorumLostError("this host is stopping"))

    async def propose(self, payload: bytes) -> typing.Any:
        """Replicate a payload and return the state machine's result.

        :raises NotLeaderError: this member is not, or no longer, the leader.
        :raises QuorumLostError: it was not committed in time; it may still be.
        """
        number, waiter = self._new_waiter()
        event = events.PayloadProposed(proposal_id=number, payload=payload)
        if not self._pending_proposals:
            # Proposals of one event loop iteration share one fsync.
            asyncio.get_running_loop().call_soon(self._flush_proposals)
        self._pending_proposals.append(event)
        return await self._await_result(number, waiter)

    async def read(self) -> None:
        """Return once a quorum has confirmed that the state here is the newest.

        :raises NotLeaderError: this member is not the leader.
        :raises QuorumLostError: no quorum answered in time.
        """
        number, waiter = self._new_waiter()
        self.step(events.ReadRequested(read_id=number))
        await self._await_result(number, waiter)

    async def handle(self, body: bytes) -> bytes:
        """Apply the messages of another member and return the messages to it."""
        received = messages.decode(body)
        sender = received[0].sender if received else ""
        batch = [events.MessageReceived(message=message) for message in received]
        return messages.encode(tuple(self.step(*batch, reply_to=sender)))

    def step(self, *batch: events.Event, reply_to: str = "") -> list[messages.Message]:
        """Apply events; return the messages to ``reply_to`` and send all others."""
        try:
            outcomes = self.replica.step(*batch)
        except exceptions.StorageError as error:
            self._handle_storage_failure(error)
            return []
        replies = []
        for outcome in outcomes:
            match outcome:
                case replica.ProposalResult():
                    self._resolve_waiter(
                        outcome.proposal_id, outcome.result, outcome.error
                    )
                case replica.ReadResult():
                    self._resolve_waiter(outcome.read_id, None, outcome.error)
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
                    self._get_outbox(message.receiver).put(message)
        self._log_membership()
        self._stepped.set()
        self._on_step()
        return replies

    def _log_membership(self) -> None:
        """Log the membership if it differs from the last one logged."""
        raft = self.replica.raft
        membership = raft.log.membership
        if membership == self._logged_membership:
            return
        self._logged_membership = membership
        log.info(
            "control_membership",
            member=raft.member_id,
            index=raft.log.membership_index,
            committed=raft.commit_index,
            voters=",".join(sorted(membership.voter_ids)),
            previous=",".join(
                sorted(member.id for member in membership.previous if member.voter)
            ),
        )

    def _new_waiter(self) -> tuple[int, asyncio.Future[typing.Any]]:
        if self.replica.storage_error is not None:
            raise exceptions.StorageFailedError(self.replica.storage_error.detail)
        self._last_request_number += 1
        waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_number[self._last_request_number] = waiter
        return self._last_request_number, waiter

    async def _await_result(self, number: int, waiter: asyncio.Future[typing.Any]):
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                return await waiter
        except TimeoutError as error:
            raise exceptions.QuorumLostError(
                "no quorum of control hosts answered; the change may still be "
                "accepted, resend it with the same change id"
            ) from error
        finally:
            self._waiters_by_number.pop(number, None)

    def _resolve_waiter(
        self, number: int, result: typing.Any, error: Exception | None
    ) -> None:
        waiter = self._waiters_by_number.get(number)
        if waiter is None or waiter.done():
            return
        if error is None:
            waiter.set_result(result)
        else:
            waiter.set_exception(error)

    def _flush_proposals(self) -> None:
        batch, self._pending_proposals = self._pending_proposals, []
        self.step(*batch)

    def _handle_storage_failure(self, error: exceptions.StorageError) -> None:
        self._fail_waiters(exceptions.StorageFailedError(error.detail))
        self._on_failure(error)

    def _fail_waiters(self, error: exceptions.ControlError) -> None:
        for waiter in self._waiters_by_number.values():
            if not waiter.done():
                waiter.set_exception(error)

    def _get_outbox(self, member_id: str) -> "_Outbox":
        outbox = self._outboxes_by_id.get(member_id)
        if outbox is None:
            outbox = _Outbox(driver=self, channel=self._channel, member_id=member_id)
            self._outboxes_by_id[member_id] = outbox
        return outbox

    def address_of(self, member_id: str) -> str | None:
        """Return the peer address of a member, ``None`` if it is unknown."""
        membership = self.replica.raft.log.membership
        member = membership.reachable_by_id.get(member_id)
        return None if member is None else member.address

    async def _run_timer(self) -> None:
        while self.replica.storage_error is None:
            self._stepped.clear()
            delay = self.replica.raft.next_timer_at - self._clock.monotonic()
            if delay > 0:
                # A step may make the next wake-up earlier or later.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(delay):
                        await self._stepped.wait()
                    continue
            self.step(events.TimeReached())


class _Outbox:
    """Queue of messages to one member."""

    def __init__(
        self, *, driver: RaftDriver, channel: peers.PeerChannel, member_id: str
    ) -> None:
        self._driver = driver
        self._channel = channel
        self._member_id = member_id
        # Bounded, so that messages to an unreachable member do not accumulate. The
        # next heartbeat resends what was dropped.
        self._queue: collections.deque[messages.Message] = collections.deque(
            maxlen=MAX_QUEUED_MESSAGES
        )
        self._has_messages = asyncio.Event()
        self._calls: set[asyncio.Task[None]] = set()
        self._sender_task = background_tasks.start(
            self._send_queued, task="raft_send", member=member_id
        )

    def put(self, message: messages.Message) -> None:
        """Add a message to the queue."""
        self._queue.append(message)
        self._has_messages.set()

    def _next_batch(self) -> tuple[messages.Message, ...]:
        """Remove and return as many messages as fit into one call."""
        batch: list[messages.Message] = []
        size = 0
        while self._queue:
            size += messages.payload_size(self._queue[0])
            if batch and size > MAX_CALL_BYTES:
                break
            batch.append(self._queue.popleft())
        if not self._queue:
            self._has_messages.clear()
        return tuple(batch)

    async def close(self) -> None:
        """Cancel the calls in flight and drop the queue."""
        tasks = [self._sender_task, *self._calls]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_queued(self) -> None:
        while True:
            await self._has_messages.wait()
            batch = self._next_batch()
            address = self._driver.address_of(self._member_id)
            if not batch or address is None:
                continue
            call = asyncio.ensure_future(self._call(address, batch))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
            # Calls are sequential as long as they are answered. A call that hangs
            # must not delay later heartbeats until its timeout, which is as long as
            # the election timeout: the member would start an election.
            await asyncio.wait({call}, timeout=MAX_SEQUENTIAL_WAIT_S)
            if len(self._calls) >= MAX_CONCURRENT_CALLS:
                await asyncio.wait(self._calls, return_when=asyncio.FIRST_COMPLETED)

    async def _call(self, address: str, batch: tuple[messages.Message, ...]) -> None:
        try:
            data = await self._channel.call(
                address, RAFT_METHOD, messages.encode(batch), timeout=CALL_TIMEOUT_S
            )
            replies = messages.decode(data)
        except (exceptions.PeerError, exceptions.InvalidRequestError) as error:
            log.debug("raft_call_failed", peer=address, error=error.detail)
            await asyncio.sleep(FAILED_CALL_DELAY_S)
            return
        self._driver.step(*(events.MessageReceived(message=reply) for reply in replies))
