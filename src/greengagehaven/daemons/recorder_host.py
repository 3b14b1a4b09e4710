"""Recorder of idempotency keys with a journal on disk."""

import asyncio
import contextlib
from collections import abc

import msgspec

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven.coordination import peers
from greengagehaven.coordination.idempotency import recorder
from greengagehaven.protocol import claims, codec
from greengagehaven.state import claim_journal
from greengagehaven.transport import background_tasks

CLAIMS_METHOD = "claims/ask"
CALL_TIMEOUT_S = 1.0
COPY_PERIOD_S = 0.2
COMPACT_AFTER_CHANGES = 50_000


class _Start(msgspec.Struct, frozen=True, kw_only=True):
    """First record of a journal.

    :param complete: whether the journal holds every claim that was ever granted;
        false while a recorder without a journal copies the others.
    """

    incarnation: int
    complete: bool


class RecorderHost:
    """Answers claims; every grant is on disk before the reply is sent.

    :param recorder_id: id of this recorder in the set.
    :param addresses_by_id: peer addresses of the whole set, this one included.
    :param channel: calls to the other recorders.
    :param folder: data folder for the journal.
    :param may_be_new: whether a recorder without a journal may treat the whole set
        as new if every other recorder replies that it has no records either.
        Otherwise it abstains until it has copied the others.
    """

    def __init__(
        self,
        *,
        recorder_id: str,
        addresses_by_id: abc.Mapping[str, str],
        channel: peers.PeerChannel,
        clock: clocks.Clock,
        folder: claim_journal.JournalFolder,
        may_be_new: bool = False,
        limits: recorder.RecorderLimits | None = None,
    ) -> None:
        self._id = recorder_id
        self._addresses_by_id = addresses_by_id
        self._channel = channel
        self._clock = clock
        self._journal = claim_journal.ClaimJournal(folder=folder)
        self._may_be_new = may_be_new
        self._limits = limits
        self._recorder: recorder.Recorder | None = None
        self._unsynced: list[recorder.StateChange] = []
        self._sync: asyncio.Task[None] | None = None
        self._changes_since_compact = 0
        self._copier: asyncio.Task[None] | None = None

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return the handlers for a ``GrpcPeerServer``."""
        return {CLAIMS_METHOD: self._handle}

    @property
    def abstains(self) -> bool:
        """Return whether this recorder may have lost keys and therefore grants none."""
        return self._recorder is None or self._recorder.abstains

    @property
    def record_count(self) -> int:
        """Return the number of keys that this recorder holds."""
        return 0 if self._recorder is None else len(self._recorder)

    def start(self) -> None:
        """Read the journal and start answering.

        :raises LogDamagedError: the journal is damaged. Once it is removed, the
            recorder copies the others.
        """
        payloads = self._journal.load()
        if payloads:
            start = msgspec.msgpack.decode(payloads[0], type=_Start)
        else:
            start = _Start(incarnation=0, complete=False)
        incarnation = start.incarnation
        if not start.complete:
            incarnation = int(self._clock.now().timestamp() * 1000)
        changes = [
            msgspec.msgpack.decode(payload, type=recorder.StateChange)
            for payload in (payloads or ())[1:]
        ]
        self._recorder = recorder.Recorder(
            clock=self._clock,
            recorder_id=self._id,
            recorder_ids=frozenset(self._addresses_by_id),
            incarnation=incarnation,
            changes=changes if start.complete else (),
            has_complete_state=start.complete,
            limits=self._limits,
        )
        self._rewrite(complete=start.complete)
        log.info(
            "recorder_started",
            recorder=self._id,
            records=len(self._recorder),
            abstains=self._recorder.abstains,
        )
        if self._recorder.abstains:
            self._copier = background_tasks.start(
                self._copy_until_complete, task="copy_records"
            )

    async def close(self) -> None:
        """Stop; every grant that a caller was told of is already on disk."""
        for task in (self._copier, self._sync):
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task

    async def _handle(self, body: bytes) -> bytes:
        requests = codec.decode_msgpack(body, tuple[claims.RecorderRequest, ...])
        if self._recorder is None:
            raise exceptions.PeerError("the recorder has not started or has failed")
        replies = []
        for request in requests:
            reply, change = self._recorder.handle(request)
            replies.append(reply)
            if change is not None:
                self._unsynced.append(change)
        await self._wait_synced()
        return codec.encode_msgpack(replies)

    async def _wait_synced(self) -> None:
        """Wait until every decision so far is on disk.

        Requests that arrive together share one sync. A reply without a change of its
        own waits too, because it may refer to a grant that is not on disk yet.
        """
        if self._unsynced and (self._sync is None or self._sync.done()):
            self._sync = asyncio.get_running_loop().create_task(self._write())
        if self._sync is not None:
            await asyncio.shield(self._sync)

    async def _write(self) -> None:
        # Yields to the event loop, so that requests that arrived together share a sync.
        await asyncio.sleep(0)
        changes, self._unsynced = self._unsynced, []
        try:
            self._journal.append(map(msgspec.msgpack.encode, changes))
        except exceptions.StorageError as error:
            # Memory is ahead of the disk, so no further claim may be granted.
            self._recorder = None
            log.error("recorder_failed", recorder=self._id, detail=error.detail)
            raise
        self._changes_since_compact += len(changes)
        if self._changes_since_compact >= COMPACT_AFTER_CHANGES:
            self._rewrite(complete=not self.abstains)

    def _rewrite(self, *, complete: bool) -> None:
        if self._recorder is None:
            return
        start = _Start(incarnation=self._recorder.incarnation, complete=complete)
        changes = self._recorder.snapshot()
        self._journal.rewrite(map(msgspec.msgpack.encode, [start, *changes]))
        self._changes_since_compact = 0

    async def _copy_until_complete(self) -> None:
        others = [
            address
            for recorder_id, address in self._addresses_by_id.items()
            if recorder_id != self._id
        ]
        while True:
            if await self._copy_all(others):
                break
            await asyncio.sleep(COPY_PERIOD_S)
        # The copied records must be on disk before the first grant; no other task
        # runs between the last page and this call.
        self._rewrite(complete=True)
        log.info("recorder_copied", recorder=self._id, records=self.record_count)

    async def _copy_all(self, addresses: list[str]) -> bool:
        """Copy recorders until enough are copied; return whether that is the case."""
        target = self._recorder
        empty_count = 0
        for address in addresses:
            if target is None or not target.abstains:
                return True
            empty_count += await self._copy(target, address)
        if target is None:
            return True
        if self._may_be_new and empty_count == len(addresses) and not len(target):
            target.skip_recovery()
        return not target.abstains

    async def _copy(self, target: recorder.Recorder, address: str) -> bool:
        """Copy one recorder; return whether it replied that it has no records."""
        after = ""
        while True:
            body = codec.encode_msgpack((target.build_copy_request(after),))
            try:
                data = await self._channel.call(
                    address, CLAIMS_METHOD, body, timeout=CALL_TIMEOUT_S
                )
            except exceptions.PeerError as error:
                log.debug("recorder_copy_failed", address=address, detail=error.detail)
                return False
            (reply,) = codec.decode_msgpack(data, tuple[claims.RecorderReply])
            target.merge_copied_page(reply)
            if reply.is_last or not reply.records:
                return not after and not reply.records
            after = reply.records[-1].record_id
