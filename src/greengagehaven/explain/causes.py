"""Classifies how a request ended and the main cause if it went wrong.

Each request gets exactly one cause, so that causes can be counted.
"""

import collections
import enum
from collections import abc

from greengagehaven.explain import lines


class Fate(enum.StrEnum):
    """How a request ended from its caller's point of view."""

    ON_TIME = "on_time"
    LATE = "late"
    PARTIAL = "partial"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"


class Cause(enum.StrEnum):
    """Why a request was not answered completely and on time.

    ``STARTING``: the host had no routing table yet. ``NO_ROUTE``: no route
    matched. ``UNAUTHORIZED``: the request had no key, or one that its host did not
    know. ``NO_KEY_LEASE``: the host could not show that the keys it knew were still
    accepted. ``CONVICTED``: the request is quarantined since it crashes upstreams.
    ``ABOVE_LIMIT``: its team exceeds its limit over all hosts.
    ``OUT_OF_REACH``: no upstream of a shard was reachable. ``LOST``: a response
    was lost. ``GARBLED``: a response was invalid. ``REJECTED``: an upstream
    refused a sub-request without running it. ``FAILED``: an upstream returned an
    error. ``NO_BUDGET``: the retry budget had no token for another attempt.
    ``SLOW``: an upstream was slow although a hedge was sent. ``SLOW_ALONE``: an
    upstream was slow and no hedge was sent. ``CALLER_LEFT``: the caller no longer
    waited. ``UNKNOWN``: the log lines match no other cause.
    """

    NONE = "none"
    STARTING = "starting"
    NO_ROUTE = "no_route"
    UNAUTHORIZED = "unauthorized"
    NO_KEY_LEASE = "no_key_lease"
    CONVICTED = "convicted"
    ABOVE_LIMIT = "above_limit"
    OUT_OF_REACH = "out_of_reach"
    LOST = "lost"
    GARBLED = "garbled"
    REJECTED = "rejected"
    FAILED = "failed"
    NO_BUDGET = "no_budget"
    SLOW = "slow"
    SLOW_ALONE = "slow_alone"
    CALLER_LEFT = "caller_left"
    UNKNOWN = "unknown"


_CAUSES_BY_CODE = {
    "not_configured": Cause.STARTING,
    "not_found": Cause.NO_ROUTE,
    "unauthorized": Cause.UNAUTHORIZED,
    "key_lease_expired": Cause.NO_KEY_LEASE,
    "suspended": Cause.CONVICTED,
    "quarantined": Cause.CONVICTED,
    "usage_cap_exceeded": Cause.ABOVE_LIMIT,
}

_FATES_BY_OUTCOME = {
    "partial": Fate.PARTIAL,
    "caller_left": Fate.LEFT,
    "incomplete": Fate.REFUSED,
    "key_lease_expired": Fate.REFUSED,
    "upstream_error": Fate.FAILED,
    "upstreams_failed": Fate.FAILED,
    "deadline_exceeded": Fate.FAILED,
}


def classify_fate(ending: lines.Line, objective_ms: float) -> Fate:
    """Return how a request ended.

    :param ending: its log line ``ended`` or ``refused``.
    :param objective_ms: latency objective of the request, 0 if unknown.
    """
    if ending.event == "refused":
        return Fate.REFUSED
    fate = _FATES_BY_OUTCOME.get(ending.fields.get("outcome", ""), Fate.ON_TIME)
    is_late = 0 < objective_ms < ending.parse_number("took_ms")
    return Fate.LATE if fate is Fate.ON_TIME and is_late else fate


def find_cause(history: abc.Sequence[lines.Line], fate: Fate) -> Cause:
    """Return the main cause of a request that went wrong.

    If several sub-requests are missing, the most frequent of their causes counts.

    :param history: all log lines of the request in order, its end last.
    :param fate: how the request ended.
    """
    if fate is Fate.ON_TIME:
        return Cause.NONE
    if fate is Fate.LEFT:
        return Cause.CALLER_LEFT
    ending = history[-1]
    if ending.event == "refused":
        code = ending.fields.get("code", "")
        return _CAUSES_BY_CODE.get(code, Cause.UNKNOWN)
    reasons_by_service = _missing_reasons_by_service(ending)
    if fate is not Fate.PARTIAL:
        # Sub-requests that still waited when others failed did not cause it.
        failed_by_service = {
            service: reason
            for service, reason in reasons_by_service.items()
            if reason != "waiting"
        }
        reasons_by_service = failed_by_service or reasons_by_service
    if not reasons_by_service:
        return _cause_of_delay(history)
    causes = collections.Counter(
        _cause_of_missing(service, reason, history)
        for service, reason in reasons_by_service.items()
    )
    return causes.most_common(1)[0][0]


def _missing_reasons_by_service(ending: lines.Line) -> dict[str, str]:
    pairs = ending.fields.get("missing", "").split(",")
    return dict(pair.split(":", 1) for pair in pairs if ":" in pair)


def _cause_of_missing(
    service: str, reason: str, history: abc.Sequence[lines.Line]
) -> Cause:
    if reason == "waiting":
        return _cause_of_waiting(service, history)
    if reason.endswith("_no_key_lease"):
        return Cause.NO_KEY_LEASE
    if reason.endswith("_no_budget"):
        return Cause.NO_BUDGET
    if reason.startswith(("no_upstream", "connect", "silent", "unavailable")):
        return Cause.OUT_OF_REACH
    if reason.startswith(("lost", "unsent")):
        return Cause.LOST
    if reason.startswith("garbled"):
        return Cause.GARBLED
    if reason.startswith(("status_503", "status_429", "status_421", "crowded")):
        return Cause.REJECTED
    return Cause.FAILED if reason.startswith("status_") else Cause.UNKNOWN


def _cause_of_waiting(service: str, history: abc.Sequence[lines.Line]) -> Cause:
    events = {line.event for line in history if line.fields.get("service") == service}
    if "hedge_withheld" in events:
        return Cause.NO_KEY_LEASE
    if "hedge_refused" in events:
        return Cause.NO_BUDGET
    if "attempt_failed" in events:
        return Cause.LOST
    return Cause.SLOW if "hedge" in events else Cause.SLOW_ALONE


def _cause_of_delay(history: abc.Sequence[lines.Line]) -> Cause:
    """Return why a complete answer was late."""
    failed = [line for line in history if line.event == "attempt_failed"]
    if failed:
        reason = failed[-1].fields.get("reason", "")
        return _cause_of_missing("", reason, history)
    if any(line.event == "hedge_refused" for line in history):
        return Cause.NO_BUDGET
    is_hedged = any(line.event == "hedge" for line in history)
    return Cause.SLOW if is_hedged else Cause.SLOW_ALONE
