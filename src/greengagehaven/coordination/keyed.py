"""Requests that need an idempotency key: claimed first, then run, then recorded."""

import typing

import msgspec

from greengagehaven import clock as clock_module
from greengagehaven import exceptions
from greengagehaven.coordination import events, fingerprint, timers
from greengagehaven.coordination.idempotency import claimant, recorder, status
from greengagehaven.protocol import claims, codec, search

Run = typing.Callable[[events.QuerySubmitted, list[events.Action]], None]

_LOCAL_RECORDER = "local"
# Longest wait for a majority to record an answer before its caller gets it.
_CONFIRM_TIMEOUT_S = 0.25


class KeyedRequests:
    """Non-idempotent requests of one entry host, before and after they run.

    :param clock: time; only ``monotonic`` is read.
    :param recorder_ids: the fixed set of recorders; empty for a host that is
        alone and remembers keys itself, for as long as its process lives.
    :param pending: timers of the core.
    :param run: runs a request that was granted; it raises ``RequestError``
        where nothing of it was sent.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        recorder_ids: frozenset[str],
        pending: timers.Timers,
        run: Run,
    ) -> None:
        self._clock = clock
        self._timers = pending
        self._run = run
        self._local: recorder.Recorder | None = None
        if not recorder_ids:
            recorder_ids = frozenset({_LOCAL_RECORDER})
            self._local = recorder.Recorder(
                clock=clock,
                recorder_id=_LOCAL_RECORDER,
                recorder_ids=recorder_ids,
                incarnation=1,
                has_memory=True,
            )
        self._claimant = claimant.Claimant(clock=clock, recorder_ids=recorder_ids)
        self._submitted_by_id: dict[str, events.QuerySubmitted] = {}
        self._answers_by_id: dict[str, events.AnswerQuery] = {}
        self._is_resend_armed = False

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait for their key to be granted."""
        return len(self._submitted_by_id)

    @property
    def unconfirmed_count(self) -> int:
        """Return how many outcomes a recorder has not confirmed."""
        return self._claimant.unconfirmed

    def look_up(self, subscriber_id: str, key: str) -> search.RequestStatus:
        """Return what became of a key, on a host that is alone.

        :raises NotFoundError: no request with this key is known here.
        """
        if self._local is None:
            return search.RequestStatus(
                idempotency_key=key, state=search.RequestState.UNKNOWN
            )
        request = claims.Lookup(
            recorders=_LOCAL_RECORDER, record_id=claimant.record_id(subscriber_id, key)
        )
        reply, _ = self._local.handle(request)
        return status.describe(key, [reply], recorder_count=1)

    def begin(
        self,
        submitted: events.QuerySubmitted,
        *,
        deadline: float,
        actions: list[events.Action],
    ) -> None:
        """Ask for a request's key; it runs once the key is granted."""
        request_id = submitted.request_id
        self._submitted_by_id[request_id] = submitted
        now = self._clock.monotonic()
        moment = min(deadline, now + claimant.CLAIM_TIMEOUT_S)
        self._timers.add(moment, timers.ClaimTimer(request_id=request_id))
        steps = self._claimant.begin(
            key_id=claimant.record_id(
                submitted.subscriber_id, submitted.idempotency_key or ""
            ),
            fingerprint=fingerprint.of_request(
                submitted.kind, submitted.query, submitted.services
            ),
            token=request_id,
            deadline=deadline,
        )
        self._carry_out(steps, actions)

    def take_reply(
        self, replied: events.RecorderReplied, actions: list[events.Action]
    ) -> None:
        """Take in a recorder's reply."""
        ask = claimant.Ask(recorder_id=replied.recorder_id, request=replied.request)
        steps = self._claimant.take_reply(ask, replied.reply)
        self._carry_out(steps, actions)

    def take_claim_timer(self, request_id: str, actions: list[events.Action]) -> None:
        """Decide a claim that got too few replies in time."""
        self._carry_out(self._claimant.give_up(request_id), actions)

    def abandon(self, request_id: str, actions: list[events.Action]) -> bool:
        """Drop a request whose caller left before its key was granted.

        :return: whether it was one.
        """
        if self._submitted_by_id.pop(request_id, None) is None:
            return False
        steps = self._claimant.give_up(request_id)
        asks = [step for step in steps if isinstance(step, claimant.Ask)]
        self._carry_out(asks, actions)
        return True

    def take_resend_timer(self, actions: list[events.Action]) -> None:
        """Tell recorders again what they have not confirmed."""
        self._is_resend_armed = False
        self._carry_out(self._claimant.resend_due(), actions)

    def note_results(self, actions: list[events.Action]) -> None:
        """Record what became of the requests that these actions end."""
        for action in list(actions):
            if isinstance(action, events.AnswerQuery):
                if self._claimant.is_running(action.answer.request_id):
                    actions.remove(action)
                    self._record_answer(action, actions)
            elif isinstance(action, events.RefuseQuery):
                self._note_refusal(action, actions)

    def release_answer(self, request_id: str, actions: list[events.Action]) -> None:
        """Give a caller its answer, recorded by a majority or not."""
        action = self._answers_by_id.pop(request_id, None)
        if action is not None:
            self._claimant.stop_waiting(request_id)
            actions.append(action)

    def _record_answer(
        self, action: events.AnswerQuery, actions: list[events.Action]
    ) -> None:
        """Hold an answer back until a majority has recorded it.

        Given at once, a caller that lost it and sent its request again through
        another host could be there before the record, and would hear that the
        outcome is unknown although it had been answered.
        """
        request_id = action.answer.request_id
        self._answers_by_id[request_id] = action
        moment = self._clock.monotonic() + _CONFIRM_TIMEOUT_S
        self._timers.add(moment, timers.ConfirmTimer(request_id=request_id))
        answer = codec.encode_json(action.answer)
        self._carry_out(self._claimant.conclude(request_id, answer), actions)

    def _note_refusal(
        self, refused: events.RefuseQuery, actions: list[events.Action]
    ) -> None:
        if not self._claimant.is_running(refused.request_id):
            return
        if refused.error.ran is exceptions.Ran.NO:
            steps = self._claimant.release(refused.request_id)
        else:
            steps = self._claimant.conclude(refused.request_id, None)
        self._carry_out(steps, actions)

    def _carry_out(
        self, steps: list[claimant.Step], actions: list[events.Action]
    ) -> None:
        for step in steps:
            if isinstance(step, claimant.Ask):
                self._ask(step, actions)
            elif isinstance(step, claimant.Granted):
                self._start(step.token, actions)
            elif isinstance(step, claimant.Confirmed):
                self.release_answer(step.token, actions)
            else:
                self._finish(step, actions)
        self._arm_resend()

    def _ask(self, ask: claimant.Ask, actions: list[events.Action]) -> None:
        if self._local is None:
            action = events.AskRecorder(
                recorder_id=ask.recorder_id, request=ask.request
            )
            actions.append(action)
            return
        reply, _ = self._local.handle(ask.request)
        self._carry_out(self._claimant.take_reply(ask, reply), actions)

    def _start(self, token: str, actions: list[events.Action]) -> None:
        submitted = self._submitted_by_id.pop(token, None)
        if submitted is None:
            self._carry_out(self._claimant.release(token), actions)
            return
        try:
            self._run(submitted, actions)
        except exceptions.RequestError as error:
            actions.append(events.RefuseQuery(request_id=token, error=error))

    def _finish(
        self,
        step: claimant.Recorded | claimant.Denied,
        actions: list[events.Action],
    ) -> None:
        if self._submitted_by_id.pop(step.token, None) is None:
            return
        if isinstance(step, claimant.Denied):
            actions.append(events.RefuseQuery(request_id=step.token, error=step.error))
            return
        recorded = codec.decode_json(step.answer, search.Answer, place="record")
        # The caller of this request waits under its own id.
        answer = msgspec.structs.replace(recorded, request_id=step.token)
        actions.append(events.AnswerQuery(answer=answer))

    def _arm_resend(self) -> None:
        if self._is_resend_armed:
            return
        moment = self._claimant.next_resend()
        if moment is not None:
            self._is_resend_armed = True
            self._timers.add(moment, timers.ResendTimer())
