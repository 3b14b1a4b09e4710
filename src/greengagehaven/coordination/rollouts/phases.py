"""Phase transitions of a rollout.

A version has to be evaluated with few requests, yet serve all of them before the
requested time ends. The canary gets most of that time; the rest is reserved for warming
up cold upstreams and for the confirmation of all hosts.
"""

import dataclasses

from greengagehaven.coordination.rollouts import sequential_test
from greengagehaven.protocol import rollouts

TARGET_DONE_SHARE = 0.8
"""Share of the requested time after which a healthy rollout should be done."""

SHIFT_DURATION_S = 1.9
"""Seconds needed from the end of the canary to the end of the rollout: the version
serves the full load for a while, and all hosts confirm. The shift starts as late as
this allows, since some versions only start to fail after a while."""

MIN_SHIFT_SHARE = 0.5
"""Share of the requested time before which traffic is not shifted, however short
that time is."""

MIN_ANSWERS = 12
"""Answers required to end the canary or to retire the other versions early."""

UNPROVEN_SHIFT_SHARE = 0.75
"""Share of the requested time after which traffic is shifted even with fewer answers;
otherwise the rollout of a service without traffic would never proceed."""

SUSPECT_ROLLBACK_SHARE = 0.9
"""Share of the requested time after which a suspect version is rolled back."""

UNPROVEN_RETIRE_SHARE = 0.85
"""Share of the requested time after which the other versions are retired even if the
version has given few answers under full load."""

MIN_SHIFTED_S = 1.0
MIN_SHIFTED_SHARE = 0.1
"""Minimum time under full load, in seconds and as a share of the requested time; the
shorter applies. Some versions fail only under load."""

MIN_POOLED_S = 1.0
"""Seconds for which reports must have been collected before their absence counts; a
newly elected leader knows of few answers and hosts."""

MAX_CONFIRM_S = 1.5
"""Maximum wait for a host that does not confirm, in seconds. Such a host is cut off,
and its requests to upstreams that stop are retried."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutView:
    """The leader's view of a rollout.

    :param seconds_since_order: seconds since the rollout was ordered.
    :param seconds_in_phase: seconds since the current phase began.
    :param pooled_for: seconds for which this host has been leader and collected all
        reports.
    :param answers_in_phase: answers of the target version in the current phase.
    :param verdict: verdict on the answers so far.
    :param target_slots: concurrency of the warm upstreams of the target version.
    :param other_slots: concurrency of the live upstreams of other versions.
    :param unconfirmed: number of hosts that have not confirmed that they have no
        requests at upstreams of other versions and will send none.
    """

    seconds_since_order: float
    seconds_in_phase: float
    pooled_for: float
    answers_in_phase: int
    verdict: sequential_test.Verdict
    target_slots: int
    other_slots: int
    unconfirmed: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Transition:
    """A transition to the next phase, and its reason."""

    phase: rollouts.Phase
    reason: str


def next_transition(rollout: rollouts.Rollout, view: RolloutView) -> Transition | None:
    """Return the next transition of a rollout, ``None`` to stay in its phase."""
    if view.verdict.is_bad:
        return Transition(phase=rollouts.Phase.ROLLED_BACK, reason="bad")
    if view.seconds_since_order >= rollout.duration_s:
        return Transition(phase=rollouts.Phase.ROLLED_BACK, reason="out_of_time")
    if (
        view.verdict.is_suspect
        and view.seconds_since_order >= SUSPECT_ROLLBACK_SHARE * rollout.duration_s
    ):
        return Transition(phase=rollouts.Phase.ROLLED_BACK, reason="unproven")
    if view.pooled_for < MIN_POOLED_S:
        return None
    match rollout.phase:
        case rollouts.Phase.CANARY:
            return _after_canary(rollout, view)
        case rollouts.Phase.SHIFTED:
            return _after_shift(rollout, view)
        case rollouts.Phase.RETIRING:
            return _after_retiring(view)
    return None


def _after_canary(rollout: rollouts.Rollout, view: RolloutView) -> Transition | None:
    shifted = rollouts.Phase.SHIFTED
    if view.verdict.is_suspect or not view.target_slots:
        return None
    if not view.other_slots:
        return Transition(phase=shifted, reason="others_gone")
    if 2 * view.target_slots < view.other_slots:
        return None
    share = view.seconds_since_order / rollout.duration_s
    shift_at = max(
        MIN_SHIFT_SHARE, TARGET_DONE_SHARE - SHIFT_DURATION_S / rollout.duration_s
    )
    if share >= shift_at and view.verdict.answers >= MIN_ANSWERS:
        return Transition(phase=shifted, reason="proved")
    if share >= UNPROVEN_SHIFT_SHARE:
        return Transition(phase=shifted, reason="few_answers")
    return None


def _after_shift(rollout: rollouts.Rollout, view: RolloutView) -> Transition | None:
    min_shifted_s = min(MIN_SHIFTED_S, MIN_SHIFTED_SHARE * rollout.duration_s)
    if (
        view.verdict.is_suspect
        or not view.target_slots
        or view.seconds_in_phase < min_shifted_s
    ):
        return None
    if view.answers_in_phase >= MIN_ANSWERS:
        return Transition(phase=rollouts.Phase.RETIRING, reason="bears_load")
    if view.seconds_since_order >= UNPROVEN_RETIRE_SHARE * rollout.duration_s:
        return Transition(phase=rollouts.Phase.RETIRING, reason="few_answers")
    return None


def _after_retiring(view: RolloutView) -> Transition | None:
    if not view.unconfirmed:
        return Transition(phase=rollouts.Phase.DONE, reason="confirmed")
    if view.seconds_in_phase >= MAX_CONFIRM_S:
        return Transition(phase=rollouts.Phase.DONE, reason="unconfirmed_hosts")
    return None
