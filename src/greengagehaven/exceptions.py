"""Exception hierarchy of the project; each exception has a stable code.

Catch :class:`GreengagehavenError` for all errors, an intermediate class (for
example :class:`RequestError`) for a family, a leaf class for one condition.
``code`` is stable and appears in responses, logs and metrics.
"""

import enum
import types
import typing


class Ran(enum.StrEnum):
    """Whether a failed request ran: not at all, possibly, or in part."""

    NO = "no"
    UNKNOWN = "unknown"
    PARTLY = "partly"


class GreengagehavenError(Exception):
    """Base class of all errors of the project.

    :param detail: one-line description; ``code`` by default.
    :param request: the request that failed, if any.
    :param response: the response that was received, if any.
    """

    code = "internal"

    def __init__(
        self,
        detail: str = "",
        *,
        request: typing.Any = None,
        response: typing.Any = None,
    ) -> None:
        super().__init__(detail or self.code)
        self.detail = detail or self.code
        self.request = request
        self.response = response


class InvalidValueError(GreengagehavenError):
    """A value is invalid.

    :param place: path of the value, for example ``kinds.sweep.standing``.
    :param value: the value as it was read.
    :param expected: description of the values that are accepted.
    """

    code = "invalid_value"

    def __init__(
        self,
        *,
        place: str,
        value: object,
        expected: str,
        request: typing.Any = None,
    ) -> None:
        detail = f"{place}: got {value!r}, expected {expected}"
        super().__init__(detail, request=request)
        self.place = place
        self.value = value
        self.expected = expected


class SettingError(InvalidValueError):
    """An option or environment variable has an invalid value."""

    code = "invalid_setting"


class DocumentMistakeError(InvalidValueError):
    """A value of an environment document is invalid."""

    code = "invalid_document_value"


class DocumentError(GreengagehavenError):
    """An environment document is invalid.

    :param mistakes: all errors found, in the order in which they were found.
    """

    code = "invalid_document"

    def __init__(self, *, mistakes: typing.Sequence[DocumentMistakeError]) -> None:
        super().__init__("; ".join(mistake.detail for mistake in mistakes))
        self.mistakes = tuple(mistakes)


class RequestError(GreengagehavenError):
    """A caller's request failed and gets an error response.

    :param ran: whether any part of the request may have run.
    :param retry_after: seconds after which a resend may succeed, or ``None``.
    """

    code = "request_failed"
    status = 500
    log_fields: typing.Mapping[str, typing.Any] = types.MappingProxyType({})

    def __init__(
        self,
        detail: str = "",
        *,
        ran: Ran = Ran.NO,
        retry_after: float | None = None,
        request: typing.Any = None,
        response: typing.Any = None,
    ) -> None:
        super().__init__(detail, request=request, response=response)
        self.ran = ran
        self.retry_after = retry_after


class InvalidRequestError(RequestError):
    """A request is malformed; no part of it was run.

    :param place: path of the invalid value, for example ``body.services[0]``.
    :param value: the value as it was read.
    :param expected: description of the values that are accepted.
    """

    code = "invalid_request"
    status = 400

    def __init__(self, *, place: str, value: object, expected: str) -> None:
        super().__init__(f"{place}: got {value!r}, expected {expected}")
        self.place = place
        self.value = value
        self.expected = expected


class UnauthorizedError(RequestError):
    """The key or token is missing or unknown."""

    code = "unauthorized"
    status = 401


class ForbiddenError(RequestError):
    """The subscriber is authenticated but may not use the service."""

    code = "forbidden"
    status = 403


class NotFoundError(RequestError):
    """The path or resource does not exist."""

    code = "not_found"
    status = 404


class MethodNotAllowedError(RequestError):
    """The path does not support the method."""

    code = "method_not_allowed"
    status = 405


class UnknownServiceError(RequestError):
    """The active document does not define the service."""

    code = "unknown_service"
    status = 404


class UnknownKindError(RequestError):
    """The active document does not define the kind of query."""

    code = "unknown_kind"
    status = 404


class RequestTimeoutError(RequestError):
    """The caller sent the request too slowly."""

    code = "request_timeout"
    status = 408


class BodyTooLargeError(RequestError):
    """The request body exceeds the size limit."""

    code = "body_too_large"
    status = 413


class HeadersTooLargeError(RequestError):
    """The request line and headers exceed the size limit."""

    code = "headers_too_large"
    status = 431


class DeadlineExceededError(RequestError):
    """The deadline passed before an acceptable answer was complete."""

    code = "deadline_exceeded"
    status = 504


class IncompleteError(RequestError):
    """Complete coverage was required and cannot be reached."""

    code = "incomplete"
    status = 503


class UpstreamsFailedError(RequestError):
    """Upstreams that may have run the request did not answer."""

    code = "upstreams_failed"
    status = 502


class OverloadedError(RequestError):
    """The request was rejected because of overload and was not run."""

    code = "overloaded"
    status = 503


class ShareExceededError(RequestError):
    """The subscriber exceeds its fair share while other subscribers wait."""

    code = "share_exceeded"
    status = 429


class UsageCapExceededError(RequestError):
    """The team or subscriber exceeds its limit of requests over all hosts.

    :param log_fields: what the decision was based on.
    """

    code = "usage_cap_exceeded"
    status = 429

    def __init__(
        self,
        detail: str = "",
        *,
        retry_after: float,
        log_fields: typing.Mapping[str, typing.Any],
    ) -> None:
        super().__init__(detail, retry_after=retry_after)
        self.log_fields = log_fields


class DrainingError(RequestError):
    """The host is draining; the request can be sent to another host."""

    code = "draining"
    status = 503


class HostStoppedError(RequestError):
    """The host stopped before the request, which may have run, was answered."""

    code = "host_stopped"
    status = 504

    def __init__(self, detail: str = "", **options: typing.Any) -> None:
        options.setdefault("ran", Ran.UNKNOWN)
        super().__init__(detail, **options)


class CallerLeftError(RequestError):
    """The caller closed its side of the connection before it was answered."""

    code = "caller_left"
    status = 502

    def __init__(self, detail: str = "", **options: typing.Any) -> None:
        options.setdefault("ran", Ran.UNKNOWN)
        super().__init__(detail, **options)


class NotConfiguredError(RequestError):
    """This host has no active document yet."""

    code = "not_configured"
    status = 503


class KeyLeaseExpiredError(RequestError):
    """This host can't show that the keys it knows are still accepted; nothing ran."""

    code = "key_lease_expired"
    status = 503


class QuarantinedError(RequestError):
    """The request crashed upstreams and is rejected for a limited time."""

    code = "quarantined"
    status = 422


class SuspendedError(QuarantinedError):
    """Upstreams crashed on this request; it was not run and may be resent."""

    status = 503


class OutcomeUnknownError(RequestError):
    """A non-idempotent request may have run and is not retried."""

    code = "outcome_unknown"
    status = 409

    def __init__(self, detail: str = "", **options: typing.Any) -> None:
        options.setdefault("ran", Ran.UNKNOWN)
        super().__init__(detail, **options)


class IdempotencyKeyReusedError(RequestError):
    """The idempotency key was used for a different request."""

    code = "idempotency_key_reused"
    status = 409


class UpstreamConflictError(RequestError):
    """The announced upstream id is in use by another upstream.

    :param known_address: address of the upstream that has the id.
    """

    code = "upstream_conflict"
    status = 409

    def __init__(self, detail: str, *, known_address: str) -> None:
        super().__init__(detail)
        self.known_address = known_address


class UpstreamError(GreengagehavenError):
    """An upstream did not answer a sub-request."""

    code = "upstream_failed"


class ConnectError(UpstreamError):
    """No connection could be opened; no byte of the request was sent."""

    code = "upstream_connect_failed"


class ConnectionLostError(UpstreamError):
    """The connection closed after some bytes of the request were sent."""

    code = "upstream_connection_lost"


class ControlError(GreengagehavenError):
    """A control host could not carry out an operator's request."""

    code = "control_failed"
    status = 503


class NotLeaderError(ControlError):
    """This control host is not the leader.

    :param leader: the current leader, ``None`` if unknown.
    """

    code = "not_leader"

    def __init__(self, *, leader: str | None) -> None:
        super().__init__(f"the leader is {leader or 'not known'}")
        self.leader = leader


class QuorumLostError(ControlError):
    """No quorum of control hosts responds, so no change can be committed."""

    code = "quorum_lost"


class StorageFailedError(ControlError):
    """This control host's disk failed; it stops participating until a restart."""

    code = "storage_failed"


class StateMismatchError(ControlError):
    """A delta does not apply to the current state."""

    code = "state_mismatch"


class ChangeRefusedError(ControlError):
    """A change was committed and rejected; a resend is rejected as well.

    :param code: code of the rejection.
    """

    code = "change_refused"
    status = 409

    def __init__(self, detail: str, *, code: str) -> None:
        super().__init__(detail)
        self.code = code


class RevisionChangedError(ControlError):
    """Another change came into force after this one was requested; it was dropped.

    :param revision: the revision in force.
    """

    code = "revision_changed"

    def __init__(self, *, revision: int) -> None:
        super().__init__(f"revision {revision} came into force meanwhile")
        self.revision = revision


class NotInForceError(ControlError):
    """Not every entry host applied a revision within the timeout."""

    code = "not_in_force"


class ControlUnreachableError(ControlError):
    """None of the configured control hosts answered."""

    code = "control_unreachable"


class ProofError(ControlError):
    """A digest has no valid proof from the trial environment."""

    code = "proof_refused"
    status = 403


class StorageError(GreengagehavenError):
    """A file could not be written or read.

    :param path: path of the file.
    :param offset: byte offset of the error, ``None`` if unknown.
    """

    code = "storage_failed"

    def __init__(self, detail: str, *, path: str, offset: int | None = None) -> None:
        location = path if offset is None else f"{path} at byte {offset}"
        super().__init__(f"{location}: {detail}")
        self.path = path
        self.offset = offset


class LogDamagedError(StorageError):
    """A stored file is corrupt, other than by a torn last record."""

    code = "log_damaged"


class PeerError(GreengagehavenError):
    """A call to another host failed."""

    code = "peer_failed"


class PeerRejectedError(PeerError):
    """A peer's token is missing or wrong."""

    code = "peer_rejected"


class PeerRefusedError(PeerError):
    """Another host rejected a call without executing any part of it."""

    code = "peer_refused"


class TraceError(GreengagehavenError):
    """A trace file is invalid.

    :param line: line number, starting at 1; 0 if the file could not be read.
    """

    code = "invalid_trace"

    def __init__(self, detail: str, *, line: int) -> None:
        super().__init__(f"line {line}: {detail}")
        self.line = line
