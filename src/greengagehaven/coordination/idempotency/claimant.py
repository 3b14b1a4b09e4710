"""The entry host's side: gets a majority of recorders before a request runs.

A request that needs an idempotency key asks every recorder of the fixed set. It
runs with the grants of a majority, else never: then its caller hears what the
recorders know, or that nothing is known. What became of it is told to all
recorders afterwards, again and again until they have it.
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
MAX_PENDING = 2000
MAX_OUTBOX = 20_000
FIRST_RESEND_S = 0.1
MAX_RESEND_S = 5.0
MAX_RESENDS = 12

_RETRY_AFTER_S = 1.0
_RUN_SLACK_MS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ask:
    """Send a request to a recorder and hand its reply back."""

    recorder_id: str
    request: claims.RecorderRequest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """The request may run; nobody else ever may under its key."""

    token: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Recorded:
    """The request was answered before; ``answer`` is JSON."""

    token: str
    answer: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Denied:
    """The request must not run."""

    token: str
    error: exceptions.RequestError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Confirmed:
    """A majority of recorders holds what became of a request."""

    token: str


Step = Ask | Granted | Recorded | Denied | Confirmed


def record_id(subscriber_id: str, key: str) -> str:
    """Return the name of a subscriber's key; other subscribers' keys differ."""
    digest = hashlib.sha256(f"{subscriber_id}\x00{key}".encode())
    return digest.hexdigest()[:32]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Pending:
    record: claims.Record
    replies_by_id: dict[str, claims.RecorderReply | None]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Unsent:
    """Something a recorder has not confirmed yet."""

    ask: Ask
    resends: int
    due: float


class Claimant:
    """Claims of one entry host.

    :param clock: time; only ``monotonic`` is read.
    :param recorder_ids: the fixed set of recorders, the same on every host.
    """

    def __init__(
        self, *, clock: clock_module.Clock, recorder_ids: frozenset[str]
    ) -> None:
        self._clock = clock
        self._ids = recorder_ids
        self._set = recorder.recorder_set(recorder_ids)
        self._majority = recorder.majority(len(recorder_ids))
        self._pending_by_token: dict[str, _Pending] = {}
        self._running_by_token: dict[str, claims.Record] = {}
        self._confirmers_by_token: dict[str, set[str]] = {}
        self._outbox: collections.OrderedDict[tuple[str, str], _Unsent] = (
            collections.OrderedDict()
        )

    @property
    def unconfirmed(self) -> int:
        """Return how many messages recorders have not confirmed yet."""
        return len(self._outbox)

    def is_running(self, token: str) -> bool:
        """Tell whether a request runs under a key."""
        return token in self._running_by_token

    def begin(
        self, *, key_id: str, fingerprint: str, token: str, deadline: float
    ) -> list[Step]:
        """Ask whether a request may run.

        :param key_id: from :func:`record_id`.
        :param token: id of the request, unique everywhere and for ever.
        :param deadline: monotonic seconds after which it does not run.
        """
        if len(self._pending_by_token) >= MAX_PENDING:
            error = exceptions.OutcomeUnknownError(
                "too many requests wait for their idempotency key",
                retry_after=_RETRY_AFTER_S,
            )
            return [Denied(token=token, error=error)]
        left_ms = int(1000 * (deadline - self._clock.monotonic()))
        record = claims.Record(
            record_id=key_id,
            fingerprint=fingerprint,
            token=token,
            run_ms=max(0, left_ms) + _RUN_SLACK_MS,
        )
        self._pending_by_token[token] = _Pending(record=record, replies_by_id={})
        claim = claims.Claim(recorders=self._set, record=record)
        return [Ask(recorder_id=each, request=claim) for each in sorted(self._ids)]

    def take_reply(self, ask: Ask, reply: claims.RecorderReply | None) -> list[Step]:
        """Take in a recorder's reply, ``None`` where there was none."""
        if not isinstance(ask.request, claims.Claim):
            return self._take_confirmation(ask, reply)
        token = ask.request.record.token
        pending = self._pending_by_token.get(token)
        if pending is None:
            return []
        pending.replies_by_id[ask.recorder_id] = reply
        return self._decide(pending, is_over=False)

    def give_up(self, token: str) -> list[Step]:
        """Decide a claim with the replies that there are by now."""
        pending = self._pending_by_token.get(token)
        if pending is None:
            return []
        return self._decide(pending, is_over=True)

    def release(self, token: str) -> list[Step]:
        """Say that a request that had been granted has certainly not run."""
        record = self._running_by_token.pop(token, None)
        return [] if record is None else self._send_release(record)

    def conclude(self, token: str, answer: bytes | None) -> list[Step]:
        """Say what became of a request that ran.

        :param answer: JSON of its answer, ``None`` where its fate is unknown.
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
        request = claims.Conclude(recorders=self._set, record=concluded)
        self._confirmers_by_token[token] = set()
        return self._send_all(token, request)

    def stop_waiting(self, token: str) -> None:
        """Say that nobody waits any more for an outcome to be confirmed."""
        self._confirmers_by_token.pop(token, None)

    def resend_due(self) -> list[Step]:
        """Return what recorders have not confirmed and is due again."""
        now = self._clock.monotonic()
        due = [unsent for unsent in self._outbox.values() if unsent.due <= now]
        for unsent in due:
            unsent.resends += 1
            wait = min(MAX_RESEND_S, FIRST_RESEND_S * 2**unsent.resends)
            unsent.due = now + wait
        return [unsent.ask for unsent in due]

    def next_resend(self) -> float | None:
        """Return when :meth:`resend_due` is to be called, if at all."""
        return min((unsent.due for unsent in self._outbox.values()), default=None)

    def _decide(self, pending: _Pending, *, is_over: bool) -> list[Step]:
        token = pending.record.token
        replies = [reply for reply in pending.replies_by_id.values() if reply]
        grants = _valid_grants(replies)
        if len(grants) >= self._majority:
            del self._pending_by_token[token]
            self._running_by_token[token] = pending.record
            return [Granted(token=token)]
        holders = [reply.record for reply in replies if reply.record is not None]
        answered = _find_answered(holders, pending.record.fingerprint)
        outstanding = 0 if is_over else len(self._ids) - len(pending.replies_by_id)
        can_win = len(grants) + outstanding >= self._majority
        if answered is None and can_win and outstanding:
            return []
        del self._pending_by_token[token]
        steps = self._send_release(pending.record)
        if answered is not None and answered.answer is not None:
            return [*steps, Recorded(token=token, answer=answered.answer)]
        error = self._describe(pending.record, replies, holders)
        return [*steps, Denied(token=token, error=error)]

    def _describe(
        self,
        record: claims.Record,
        replies: list[claims.RecorderReply],
        holders: list[claims.Record],
    ) -> exceptions.RequestError:
        same = [held for held in holders if held.fingerprint == record.fingerprint]
        if holders and not same:
            return exceptions.IdempotencyKeyReusedError(
                "the idempotency key belongs to another request"
            )
        if any(held.state is claims.RecordState.ANSWERED for held in same):
            return exceptions.OutcomeUnknownError(
                "it ran and was answered; the answer is no longer kept"
            )
        if same:
            return exceptions.OutcomeUnknownError(
                "a request with this idempotency key runs or ran",
                retry_after=_RETRY_AFTER_S,
            )
        if any(reply.verdict is claims.Verdict.FULL for reply in replies):
            return exceptions.OverloadedError(
                "the recorders of idempotency keys are full",
                ran=exceptions.Ran.UNKNOWN,
                retry_after=_RETRY_AFTER_S,
            )
        return exceptions.OutcomeUnknownError(
            "the recorders of idempotency keys cannot be reached; this request "
            "was not sent, an earlier one with its key may have run",
            retry_after=_RETRY_AFTER_S,
        )

    def _send_release(self, record: claims.Record) -> list[Step]:
        request = claims.Release(
            recorders=self._set, record_id=record.record_id, token=record.token
        )
        return self._send_all(record.token, request)

    def _send_all(self, token: str, request: claims.RecorderRequest) -> list[Step]:
        steps: list[Step] = []
        due = self._clock.monotonic() + CLAIM_TIMEOUT_S
        for recorder_id in sorted(self._ids):
            ask = Ask(recorder_id=recorder_id, request=request)
            if len(self._outbox) >= MAX_OUTBOX:
                self._outbox.popitem(last=False)
            self._outbox[(token, recorder_id)] = _Unsent(ask=ask, resends=0, due=due)
            steps.append(ask)
        return steps

    def _take_confirmation(
        self, ask: Ask, reply: claims.RecorderReply | None
    ) -> list[Step]:
        request = typing.cast(claims.Release | claims.Conclude, ask.request)
        is_release = isinstance(request, claims.Release)
        token = request.token if is_release else request.record.token
        is_confirmed = reply is not None and reply.verdict is claims.Verdict.DONE
        unsent = self._outbox.get((token, ask.recorder_id))
        if unsent is not None and (is_confirmed or unsent.resends >= MAX_RESENDS):
            del self._outbox[(token, ask.recorder_id)]
        confirmers = self._confirmers_by_token.get(token)
        if is_release or not is_confirmed or confirmers is None:
            return []
        confirmers.add(ask.recorder_id)
        if len(confirmers) < self._majority:
            return []
        del self._confirmers_by_token[token]
        return [Confirmed(token=token)]


def _valid_grants(
    replies: list[claims.RecorderReply],
) -> list[claims.RecorderReply]:
    """Return the grants that count beside each other.

    A grant from before a recorder lost its memory is void once another granter
    has been copied by that recorder's next incarnation.
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


def _find_answered(
    holders: list[claims.Record], fingerprint: str
) -> claims.Record | None:
    for held in holders:
        if held.fingerprint != fingerprint:
            continue
        if held.state is claims.RecordState.ANSWERED:
            return held
    return None
