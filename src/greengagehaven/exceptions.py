"""Every failure of the project: one tree, each with a stable code.

Catch :class:`GreengagehavenError` for all of them, a branch (for example
:class:`RequestError`) for a family, a leaf for one condition. ``code`` is
stable and appears in answers, logs and metrics.
"""

import enum
import typing


class Ran(enum.StrEnum):
    """What a refused caller may conclude about its request."""

    NO = "no"
    UNKNOWN = "unknown"
    PARTLY = "partly"


class GreengagehavenError(Exception):
    """Base of every failure.

    :param detail: one line for people.
    :param request: the request that failed, where there is one.
    :param response: the answer that was received, where there is one.
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
    """A value that cannot be accepted, with its place and what is expected.

    :param place: where the value stands, for example ``kinds.sweep.standing``.
    :param value: the value as it was read.
    :param expected: what would be accepted.
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
    """A flag or environment variable with a value that cannot be used."""

    code = "invalid_setting"


class DocumentMistakeError(InvalidValueError):
    """One mistake in an environment document."""

    code = "invalid_document_value"


class DocumentError(GreengagehavenError):
    """An environment document that cannot be accepted.

    :param mistakes: every mistake found, in the order of the document.
    """

    code = "invalid_document"

    def __init__(self, *, mistakes: typing.Sequence[DocumentMistakeError]) -> None:
        super().__init__("; ".join(mistake.detail for mistake in mistakes))
        self.mistakes = tuple(mistakes)


class RequestError(GreengagehavenError):
    """A caller's request that gets an error instead of an answer.

    :param ran: whether any part of the request may have run.
    :param retry_after: seconds after which a resend may succeed, or ``None``.
    """

    code = "request_failed"
    status = 500

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
    """A request that breaks the interface; nothing of it was run.

    :param place: where the mistake stands, for example ``body.services[0]``.
    :param value: the value as it was read.
    :param expected: what would be accepted.
    """

    code = "invalid_request"
    status = 400

    def __init__(self, *, place: str, value: object, expected: str) -> None:
        super().__init__(f"{place}: got {value!r}, expected {expected}")
        self.place = place
        self.value = value
        self.expected = expected


class UnauthorizedError(RequestError):
    """The key or token is missing or names nobody."""

    code = "unauthorized"
    status = 401


class ForbiddenError(RequestError):
    """The subscriber is known but may not use the service."""

    code = "forbidden"
    status = 403


class NotFoundError(RequestError):
    """The path or the named thing does not exist."""

    code = "not_found"
    status = 404


class MethodNotAllowedError(RequestError):
    """The path exists but not with this method."""

    code = "method_not_allowed"
    status = 405


class UnknownServiceError(RequestError):
    """A service that the document in force does not define."""

    code = "unknown_service"
    status = 404


class UnknownKindError(RequestError):
    """A kind of query that the document in force does not define."""

    code = "unknown_kind"
    status = 404


class RequestTimeoutError(RequestError):
    """The request itself arrived too slowly."""

    code = "request_timeout"
    status = 408


class BodyTooLargeError(RequestError):
    """The body exceeds the limit."""

    code = "body_too_large"
    status = 413


class HeadersTooLargeError(RequestError):
    """The head of the request exceeds the limit."""

    code = "headers_too_large"
    status = 431


class DeadlineExceededError(RequestError):
    """The deadline passed before an acceptable answer was complete."""

    code = "deadline_exceeded"
    status = 504


class IncompleteError(RequestError):
    """Complete coverage was demanded and cannot be had."""

    code = "incomplete"
    status = 503


class UpstreamsFailedError(RequestError):
    """Upstreams that may have run the request brought no answer."""

    code = "upstreams_failed"
    status = 502


class OverloadedError(RequestError):
    """The system is saturated, and this request was not run."""

    code = "overloaded"
    status = 503


class ShareExceededError(RequestError):
    """The subscriber is above its share while others wait."""

    code = "share_exceeded"
    status = 429


class DrainingError(RequestError):
    """The host is leaving service; another host will take the request."""

    code = "draining"
    status = 503


class NotConfiguredError(RequestError):
    """No document is in force on this host yet."""

    code = "not_configured"
    status = 503


class QuarantinedError(RequestError):
    """The request brought upstreams down and is refused for a while."""

    code = "quarantined"
    status = 422


class SuspendedError(QuarantinedError):
    """A request on which upstreams crashed; it was not run and may come again."""

    status = 503


class OutcomeUnknownError(RequestError):
    """A non-idempotent request may have run; it will not be sent again."""

    code = "outcome_unknown"
    status = 409

    def __init__(self, detail: str = "", **options: typing.Any) -> None:
        options.setdefault("ran", Ran.UNKNOWN)
        super().__init__(detail, **options)


class IdempotencyKeyReusedError(RequestError):
    """The idempotency key belongs to a different request."""

    code = "idempotency_key_reused"
    status = 409


class UpstreamConflictError(RequestError):
    """Two upstreams claim one id, and this announcement lost.

    :param known_address: address of the upstream that holds the id.
    """

    code = "upstream_conflict"
    status = 409

    def __init__(self, detail: str, *, known_address: str) -> None:
        super().__init__(detail)
        self.known_address = known_address


class UpstreamError(GreengagehavenError):
    """A sub-request that an upstream did not answer."""

    code = "upstream_failed"


class ConnectError(UpstreamError):
    """No connection could be opened; no byte of the request left."""

    code = "upstream_connect_failed"


class ConnectionLostError(UpstreamError):
    """The connection ended after bytes of the request had left."""

    code = "upstream_connection_lost"


class ControlError(GreengagehavenError):
    """A control host could not do what an operator asked."""

    code = "control_failed"
    status = 503


class NotLeaderError(ControlError):
    """This control host does not lead; ``leader`` may, when known."""

    code = "not_leader"

    def __init__(self, *, leader: str | None) -> None:
        super().__init__(f"the leader is {leader or 'not known'}")
        self.leader = leader


class QuorumLostError(ControlError):
    """No quorum of control hosts answers, so nothing can be accepted."""

    code = "quorum_lost"


class StorageFailedError(ControlError):
    """This control host's disk failed; it takes no part until it restarts."""

    code = "storage_failed"


class StateMismatchError(ControlError):
    """A delta that does not follow the state it is applied to."""

    code = "state_mismatch"


class ChangeRefusedError(ControlError):
    """A change that was decided and refused; a resend is refused as well.

    :param code: the refusal's own code.
    """

    code = "change_refused"
    status = 409

    def __init__(self, detail: str, *, code: str) -> None:
        super().__init__(detail)
        self.code = code


class NotInForceError(ControlError):
    """A revision is not in force on every entry host in the time allowed."""

    code = "not_in_force"


class ControlUnreachableError(ControlError):
    """No control host that was asked gave an answer."""

    code = "control_unreachable"


class ProofError(ControlError):
    """A digest that has no valid proof from the trial environment."""

    code = "proof_refused"
    status = 403


class StorageError(GreengagehavenError):
    """State on disk that cannot be written or read.

    :param path: the file.
    :param offset: byte offset of the fault, where it is known.
    """

    code = "storage_failed"

    def __init__(self, detail: str, *, path: str, offset: int | None = None) -> None:
        where = path if offset is None else f"{path} at byte {offset}"
        super().__init__(f"{where}: {detail}")
        self.path = path
        self.offset = offset


class LogDamagedError(StorageError):
    """A record in the middle of the write-ahead log is damaged."""

    code = "log_damaged"


class PeerError(GreengagehavenError):
    """Another host of the system did not answer a call."""

    code = "peer_failed"


class PeerRejectedError(PeerError):
    """A peer's token is missing or wrong."""

    code = "peer_rejected"


class PeerRefusedError(PeerError):
    """Another host answered that it does not take a call; it did nothing of it."""

    code = "peer_refused"


class TraceError(GreengagehavenError):
    """A trace that cannot be read.

    :param line: line number, from 1.
    """

    code = "invalid_trace"

    def __init__(self, detail: str, *, line: int) -> None:
        super().__init__(f"line {line}: {detail}")
        self.line = line
