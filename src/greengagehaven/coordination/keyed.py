"""Execution of requests with an idempotency key.

The key of such a request is claimed at the recorders before the request runs,
and its result is recorded there before the caller gets it.
"""

import typing

import msgspec

from greengagehaven import clock as clock_module
from greengagehaven import exceptions
from greengagehaven.coordination import events, fingerprint, timers
from greengagehaven.coordination.idempotency import claimant, recorder, status
from greengagehaven.protocol import claims, codec, search

Run = typing.Callable[[events.QuerySubmitted, list[events.Action]], None]

_LOCAL_RECORDER_ID = "local"
_CONFIRM_TIMEOUT_S = 0.25
"""Longest time to hold back an answer until a majority has recorded it."""


class KeyedRequests:
    """Claims and records the idempotency keys of one entry host's requests.

    :param clock: source of time; only ``monotonic`` is read.
    :param recorder_ids: the fixed set of recorders; empty on a standalone host,
        which stores the keys in memory until its process ends.
    :param timers: timers of the core.
    :param run: runs a request whose key was granted; it raises ``RequestError``
        if it rejects the request before anything was sent.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        recorder_ids: frozenset[str],
        timers: timers.Timers,
        run: Run,
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._run = run
        self._local: recorder.Recorder | None = None
        if not recorder_ids:
            recorder_ids = frozenset({_LOCAL_RECORDER_ID})
            self._local = recorder.Recorder(
                clock=clock,
                recorder_id=_LOCAL_RECORDER_ID,
                recorder_ids=recorder_ids,
                incarnation=1,
                has_complete_state=True,
            )
        self._claimant = claimant.Claimant(clock=clock, recorder_ids=recorder_ids)
        self._submitted_by_id: dict[str, events.QuerySubmitted] = {}
        self._answers_by_id: dict[str, events.AnswerQuery] = {}
        self._is_resend_armed = False

    @property
    def waiting_count(self) -> int:
        """Return the number of requests whose key is not granted yet."""
        return len(self._submitted_by_id)

    @property
    def unconfirmed_count(self) -> int:
        """Return the number of requests to recorders that are not confirmed yet."""
        return self._claimant.unconfirmed_count

    def look_up(self, subscriber_id: str, key: str) -> search.RequestStatus:
        """Return the status of an idempotency key, on a standalone host.

        A host with remote recorders returns ``UNKNOWN``.

        :raises NotFoundError: this host has no record of the key.
        """
        if self._local is None:
            return search.RequestStatus(
                idempotency_key=key, state=search.RequestState.UNKNOWN
            )
        request = claims.Lookup(
            recorders=_LOCAL_RECORDER_ID,
            record_id=claimant.record_id(subscriber_id, key),
        )
        reply, _ = self._local.handle(request)
        return status.build_status(key, [reply], recorder_count=1)

    def begin(
        self,
        submitted: events.QuerySubmitted,
        *,
        deadline: float,
        actions: list[events.Action],
    ) -> None:
        """Claim the key of a request, which runs once the key is granted.

        :param deadline: monotonic seconds.
        """
        request_id = submitted.request_id
        self._submitted_by_id[request_id] = submitted
        now = self._clock.monotonic()
        moment = min(deadline, now + claimant.CLAIM_TIMEOUT_S)
        self._timers.add(moment, timers.ClaimTimer(request_id=request_id))
        steps = self._claimant.start_claim(
            record_id=claimant.record_id(
                submitted.subscriber_id, submitted.idempotency_key or ""
            ),
            fingerprint=fingerprint.of_request(
                submitted.kind, submitted.query, submitted.services
            ),
            token=request_id,  # unique, so it tells claims of one key apart
            deadline=deadline,
        )
        self._execute_steps(steps, actions)

    def on_reply(
        self, replied: events.RecorderReplied, actions: list[events.Action]
    ) -> None:
        """Process a recorder's reply."""
        sent = claimant.SendToRecorder(
            recorder_id=replied.recorder_id, request=replied.request
        )
        steps = self._claimant.handle_reply(sent, replied.reply)
        self._execute_steps(steps, actions)

    def on_claim_timeout(self, request_id: str, actions: list[events.Action]) -> None:
        """End the claim of a request that got too few replies in time."""
        self._execute_steps(self._claimant.decide_now(request_id), actions)

    def abandon(self, request_id: str, actions: list[events.Action]) -> bool:
        """Drop a request whose caller disconnected before its key was granted.

        :return: whether the request was waiting for its key.
        """
        if self._submitted_by_id.pop(request_id, None) is None:
            return False
        steps = self._claimant.decide_now(request_id)
        releases = [step for step in steps if isinstance(step, claimant.SendToRecorder)]
        self._execute_steps(releases, actions)
        return True

    def on_resend_due(self, actions: list[events.Action]) -> None:
        """Resend the requests that recorders have not confirmed."""
        self._is_resend_armed = False
        self._execute_steps(self._claimant.resend_due(), actions)

    def record_results(self, actions: list[events.Action]) -> None:
        """Record the results of the keyed requests that these actions end."""
        for action in list(actions):
            if isinstance(action, events.AnswerQuery):
                if self._claimant.is_running(action.answer.request_id):
                    actions.remove(action)
                    self._record_answer(action, actions)
            elif isinstance(action, events.RefuseQuery):
                self._record_refusal(action, actions)

    def release_answer(self, request_id: str, actions: list[events.Action]) -> None:
        """Send an answer that was held back, whether or not a majority recorded it."""
        action = self._answers_by_id.pop(request_id, None)
        if action is not None:
            self._claimant.stop_awaiting_confirmation(request_id)
            actions.append(action)

    def _record_answer(
        self, action: events.AnswerQuery, actions: list[events.Action]
    ) -> None:
        """Hold an answer back until a majority has recorded it.

        If the answer were sent at once, a caller that lost it could resend its
        request through another host before the answer is recorded, and would be
        told that the outcome is unknown.
        """
        request_id = action.answer.request_id
        self._answers_by_id[request_id] = action
        moment = self._clock.monotonic() + _CONFIRM_TIMEOUT_S
        self._timers.add(moment, timers.ConfirmTimer(request_id=request_id))
        answer = codec.encode_json(action.answer)
        self._execute_steps(self._claimant.conclude(request_id, answer), actions)

    def _record_refusal(
        self, refused: events.RefuseQuery, actions: list[events.Action]
    ) -> None:
        if not self._claimant.is_running(refused.request_id):
            return
        if refused.error.ran is exceptions.Ran.NO:
            steps = self._claimant.release(refused.request_id)
        else:
            steps = self._claimant.conclude(refused.request_id, None)
        self._execute_steps(steps, actions)

    def _execute_steps(
        self, steps: list[claimant.Action], actions: list[events.Action]
    ) -> None:
        for step in steps:
            if isinstance(step, claimant.SendToRecorder):
                self._send_to_recorder(step, actions)
            elif isinstance(step, claimant.Granted):
                self._run_granted(step.token, actions)
            elif isinstance(step, claimant.Confirmed):
                self.release_answer(step.token, actions)
            else:
                self._end_without_run(step, actions)
        self._arm_resend()

    def _send_to_recorder(
        self, step: claimant.SendToRecorder, actions: list[events.Action]
    ) -> None:
        if self._local is None:
            action = events.SendRecorderRequest(
                recorder_id=step.recorder_id, request=step.request
            )
            actions.append(action)
            return
        reply, _ = self._local.handle(step.request)
        self._execute_steps(self._claimant.handle_reply(step, reply), actions)

    def _run_granted(self, request_id: str, actions: list[events.Action]) -> None:
        submitted = self._submitted_by_id.pop(request_id, None)
        if submitted is None:
            self._execute_steps(self._claimant.release(request_id), actions)
            return
        try:
            self._run(submitted, actions)
        except exceptions.RequestError as error:
            actions.append(events.RefuseQuery(request_id=request_id, error=error))

    def _end_without_run(
        self,
        step: claimant.AlreadyAnswered | claimant.Denied,
        actions: list[events.Action],
    ) -> None:
        if self._submitted_by_id.pop(step.token, None) is None:
            return
        if isinstance(step, claimant.Denied):
            actions.append(events.RefuseQuery(request_id=step.token, error=step.error))
            return
        recorded = codec.decode_json(step.answer, search.Answer, place="record")
        # The record holds the id of the request that ran, not of this one.
        answer = msgspec.structs.replace(recorded, request_id=step.token)
        actions.append(events.AnswerQuery(answer=answer))

    def _arm_resend(self) -> None:
        if self._is_resend_armed:
            return
        moment = self._claimant.next_resend()
        if moment is not None:
            self._is_resend_armed = True
            self._timers.add(moment, timers.ResendTimer())
