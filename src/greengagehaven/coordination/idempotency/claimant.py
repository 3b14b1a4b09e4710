"""Claims idempotency keys from a majority of recorders for an entry host.

A request that needs an idempotency key sends a claim to every recorder of the fixed
set. It runs only if a majority grants the claim; otherwise the caller gets the recorded
answer or an error. Afterwards the outcome is sent to all recorders and resent until
they confirm it.
"""

import collections
import dataclasses
import hashlib
import typing

from greengagehaven import clock as clock_module
from greengagehaven import exceptions
from greengagehaven.coordination.idempotency import recorder
from greengagehaven.protocol import claims

CLAIM_TIMEOUT_S = 1.0
MAX_PENDING_CLAIMS = 2000
MAX_OUTBOX_REQUESTS = 20_000
INITIAL_RESEND_S = 0.1
MAX_RESEND_S = 5.0
MAX_RESENDS = 12

_RETRY_AFTER_S = 1.0
_RUN_SLACK_MS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendToRecorder:
    """Send a request to a recorder and return its reply."""

    recorder_id: str
    request: claims.RecorderRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """The request may run; no other request can ever run under its key."""

    token: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AlreadyAnswered:
    """The request was answered before; ``answer`` is its JSON."""

    token: str
    answer: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Denied:
    """The request must not run."""

    token: str
    error: exceptions.RequestError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Confirmed:
    """A majority of recorders has stored the outcome of a request."""

    token: str


Action = SendToRecorder | Granted | AlreadyAnswered | Denied | Confirmed


def record_id(subscriber_id: str, key: str) -> str:
    """Return the id of a key's record; the same key of two subscribers differs."""
    digest = hashlib.sha256(f"{subscriber_id}\x00{key}".encode())
    return digest.hexdigest()[:32]


@dataclasses.dataclass(kw_only=True, slots=True)
class _PendingClaim:
    record: claims.Record
    replies_by_id: dict[str, claims.RecorderReply | None]


@dataclasses.dataclass(kw_only=True, slots=True)
class _UnconfirmedRequest:
    """A request that a recorder has not confirmed yet."""

    action: SendToRecorder
    resends: int
    due: float


class Claimant:
    """The claims of one entry host.

    :param clock: time source; only ``monotonic`` is read.
    :param recorder_ids: the fixed set of recorders, the same on every host.
    """

    def __init__(
        self, *, clock: clock_module.Clock, recorder_ids: frozenset[str]
    ) -> None:
        self._clock = clock
        self._recorder_ids = recorder_ids
        self._set_name = recorder.recorder_set_name(recorder_ids)
        self._majority = recorder.majority(len(recorder_ids))
        self._pending_by_token: dict[str, _PendingClaim] = {}
        self._running_by_token: dict[str, claims.Record] = {}
        self._confirmers_by_token: dict[str, set[str]] = {}
        self._outbox: collections.OrderedDict[tuple[str, str], _UnconfirmedRequest] = (
            collections.OrderedDict()
        )

    @property
    def unconfirmed_count(self) -> int:
        """Return the number of requests that recorders have not confirmed yet."""
        return len(self._outbox)

    def is_running(self, token: str) -> bool:
        """Return whether the request with this token was granted and is running."""
        return token in self._running_by_token

    def start_claim(
        self, *, record_id: str, fingerprint: str, token: str, deadline: float
    ) -> list[Action]:
        """Claim a key for a request.

        :param record_id: record id from :func:`record_id`.
        :param fingerprint: identifies the content of the request.
        :param token: request id, globally unique and never reused.
        :param deadline: monotonic time in seconds after which the request does not run.
        """
        if len(self._pending_by_token) >= MAX_PENDING_CLAIMS:
            error = exceptions.OutcomeUnknownError(
                "too many requests are waiting for their idempotency key",
                retry_after=_RETRY_AFTER_S,
            )
            return [Denied(token=token, error=error)]
        remaining_ms = int(1000 * (deadline - self._clock.monotonic()))
        record = claims.Record(
            record_id=record_id,
            fingerprint=fingerprint,
            token=token,
            run_ms=max(0, remaining_ms) + _RUN_SLACK_MS,
        )
        self._pending_by_token[token] = _PendingClaim(record=record, replies_by_id={})
        claim = claims.Claim(recorders=self._set_name, record=record)
        return [
            SendToRecorder(recorder_id=each, request=claim)
            for each in sorted(self._recorder_ids)
        ]

    def handle_reply(
        self, sent: SendToRecorder, reply: claims.RecorderReply | None
    ) -> list[Action]:
        """Handle a recorder's reply to a sent request, ``None`` if there was none."""
        if not isinstance(sent.request, claims.Claim):
            return self._handle_confirmation(sent, reply)
        token = sent.request.record.token
        pending = self._pending_by_token.get(token)
        if pending is None:
            return []
        pending.replies_by_id[sent.recorder_id] = reply
        return self._decide(pending, is_final=False)

    def decide_now(self, token: str) -> list[Action]:
        """Decide a claim with the replies received so far."""
        pending = self._pending_by_token.get(token)
        if pending is None:
            return []
        return self._decide(pending, is_final=True)

    def release(self, token: str) -> list[Action]:
        """Release the key of a granted request that certainly has not run."""
        record = self._running_by_token.pop(token, None)
        return [] if record is None else self._send_release(record)

    def conclude(self, token: str, answer: bytes | None) -> list[Action]:
        """Record the outcome of a request that ran.

        :param answer: JSON of its answer, ``None`` if the outcome is unknown.
        """
        record = self._running_by_token.pop(token, None)
        if record is None:
            return []
        state = claims.RecordState.UNKNOWN
        if answer is not None:
            state = claims.RecordState.ANSWERED
            if len(answer) > recorder.MAX_ANSWER_BYTES:
                answer = None
        concluded = claims.Record(
            record_id=record.record_id,
            fingerprint=record.fingerprint,
            token=record.token,
            run_ms=record.run_ms,
            state=state,
            answer=answer,
        )
        request = claims.Conclude(recorders=self._set_name, record=concluded)
        self._confirmers_by_token[token] = set()
        return self._send_to_all(token, request)

    def stop_awaiting_confirmation(self, token: str) -> None:
        """Stop waiting for a majority to confirm the outcome of a request."""
        self._confirmers_by_token.pop(token, None)

    def resend_due(self) -> list[Action]:
        """Return the unconfirmed requests that are due to be resent."""
        now = self._clock.monotonic()
        due = [entry for entry in self._outbox.values() if entry.due <= now]
        for entry in due:
            entry.resends += 1
            wait = min(MAX_RESEND_S, INITIAL_RESEND_S * 2**entry.resends)
            entry.due = now + wait
        return [entry.action for entry in due]

    def next_resend(self) -> float | None:
        """Return when the next resend is due, in monotonic seconds.

        :return: ``None`` if nothing is unconfirmed.
        """
        return min((entry.due for entry in self._outbox.values()), default=None)

    def _decide(self, pending: _PendingClaim, *, is_final: bool) -> list[Action]:
        token = pending.record.token
        replies = [reply for reply in pending.replies_by_id.values() if reply]
        grants = _valid_grants(replies)
        if len(grants) >= self._majority:
            del self._pending_by_token[token]
            self._running_by_token[token] = pending.record
            return [Granted(token=token)]
        held_records = [reply.record for reply in replies if reply.record is not None]
        answered = _find_answered_record(held_records, pending.record.fingerprint)
        outstanding = (
            0 if is_final else len(self._recorder_ids) - len(pending.replies_by_id)
        )
        can_reach_majority = len(grants) + outstanding >= self._majority
        if answered is None and can_reach_majority and outstanding:
            return []
        del self._pending_by_token[token]
        actions = self._send_release(pending.record)
        if answered is not None and answered.answer is not None:
            return [*actions, AlreadyAnswered(token=token, answer=answered.answer)]
        error = self._denial_error(pending.record, replies, held_records)
        return [*actions, Denied(token=token, error=error)]

    def _denial_error(
        self,
        record: claims.Record,
        replies: list[claims.RecorderReply],
        held_records: list[claims.Record],
    ) -> exceptions.RequestError:
        matching = [
            held for held in held_records if held.fingerprint == record.fingerprint
        ]
        if held_records and not matching:
            return exceptions.IdempotencyKeyReusedError(
                "the idempotency key was already used for a different request"
            )
        if any(held.state is claims.RecordState.ANSWERED for held in matching):
            return exceptions.OutcomeUnknownError(
                "the request ran and was answered; its answer is no longer stored"
            )
        if matching:
            return exceptions.OutcomeUnknownError(
                "a request with this idempotency key is running or has run",
                retry_after=_RETRY_AFTER_S,
            )
        if any(reply.verdict is claims.Verdict.FULL for reply in replies):
            return exceptions.OverloadedError(
                "the idempotency key recorders have reached their record limit",
                ran=exceptions.Ran.UNKNOWN,
                retry_after=_RETRY_AFTER_S,
            )
        return exceptions.OutcomeUnknownError(
            "no majority of the recorders granted the idempotency key; this "
            "request was not sent, but an earlier one with its key may have run",
            retry_after=_RETRY_AFTER_S,
        )

    def _send_release(self, record: claims.Record) -> list[Action]:
        request = claims.Release(
            recorders=self._set_name, record_id=record.record_id, token=record.token
        )
        return self._send_to_all(record.token, request)

    def _send_to_all(self, token: str, request: claims.RecorderRequest) -> list[Action]:
        actions: list[Action] = []
        due = self._clock.monotonic() + CLAIM_TIMEOUT_S
        for recorder_id in sorted(self._recorder_ids):
            action = SendToRecorder(recorder_id=recorder_id, request=request)
            if len(self._outbox) >= MAX_OUTBOX_REQUESTS:
                self._outbox.popitem(last=False)
            self._outbox[(token, recorder_id)] = _UnconfirmedRequest(
                action=action, resends=0, due=due
            )
            actions.append(action)
        return actions

    def _handle_confirmation(
        self, sent: SendToRecorder, reply: claims.RecorderReply | None
    ) -> list[Action]:
        request = typing.cast(claims.Release | claims.Conclude, sent.request)
        is_release = isinstance(request, claims.Release)
        token = request.token if is_release else request.record.token
        is_confirmed = reply is not None and reply.verdict is claims.Verdict.DONE
        entry = self._outbox.get((token, sent.recorder_id))
        if entry is not None and (is_confirmed or entry.resends >= MAX_RESENDS):
            del self._outbox[(token, sent.recorder_id)]
        confirmers = self._confirmers_by_token.get(token)
        if is_release or not is_confirmed or confirmers is None:
            return []
        confirmers.add(sent.recorder_id)
        if len(confirmers) < self._majority:
            return []
        del self._confirmers_by_token[token]
        return [Confirmed(token=token)]


def _valid_grants(
    replies: list[claims.RecorderReply],
) -> list[claims.RecorderReply]:
    """Return the grants that are valid together.

    A recorder's grant from before it lost its state is void if another granting
    recorder knows a newer incarnation of it.
    """
    grants = [reply for reply in replies if reply.verdict is claims.Verdict.GRANTED]
    return [
        grant
        for grant in grants
        if all(
            other.incarnations_by_id.get(grant.recorder_id, grant.incarnation)
            == grant.incarnation
            for other in grants
        )
    ]


def _find_answered_record(
    held_records: list[claims.Record], fingerprint: str
) -> claims.Record | None:
    for held in held_records:
        if held.fingerprint != fingerprint:
            continue
        if held.state is claims.RecordState.ANSWERED:
            return held
    return None
