"""HTTP API of a control host for operators.

A host that is not the leader forwards a request to the leader, so that an operator may
call any control host.
"""

import asyncio
import hashlib
import hmac
import typing
from collections import abc

import msgspec
import prometheus_client

from greengagehaven import exceptions
from greengagehaven.coordination import peers
from greengagehaven.daemons import control_host, control_status
from greengagehaven.protocol import codec, operator, problem
from greengagehaven.protocol import control as messages
from greengagehaven.state import audit, configuration
from greengagehaven.transport import http

OPERATE_METHOD = "control/operate"
FORWARD_TIMEOUT_S = 2.5
LEADER_TIMEOUT_S = 5.0
STATUS_TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.05
DEFAULT_RECORD_LIMIT = 50
MAX_RECORD_LIMIT = 20_000
ANONYMOUS_AUTHOR = "operator"
MAX_CHANGE_ID_CHARACTERS = 128
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
HTTP_STATUS_BY_CODE = {
    "invalid_document": 400,
    "proof_refused": 403,
    "unknown_zone": 404,
}

Route = typing.Callable[[http.Request, str], typing.Awaitable[http.Response]]


class OperatorApi:
    """Serves operators' requests, or forwards them to the leader.

    :param host: the control host.
    :param tokens_by_operator: secret token of each operator, by name; if empty,
        requests are not authenticated and their author is ``operator``.
    :param registry: registry of the metrics served at ``/metrics``.
    """

    def __init__(
        self,
        *,
        host: control_host.ControlHost,
        tokens_by_operator: abc.Mapping[str, str] | None = None,
        registry: prometheus_client.CollectorRegistry | None = None,
    ) -> None:
        self._host = host
        self._registry = registry
        self._operators_by_digest = {
            _sha256(token): name for name, token in (tokens_by_operator or {}).items()
        }
        self._routes: dict[tuple[str, str], Route] = {
            ("GET", "status"): self._get_status,
            ("GET", "document"): self._get_document,
            ("GET", "history"): self._get_history,
            ("GET", "audit"): self._get_audit,
            ("GET", "proofs"): self._get_proof,
            ("GET", "withdrawals"): self._get_withdrawal,
            ("POST", "changes"): self._post_document,
            ("POST", "zones"): self._post_zone,
            ("POST", "proofs"): self._post_proof,
            ("POST", "withdrawals"): self._post_withdrawal,
        }

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return the handler of each method that other control hosts call."""
        return {OPERATE_METHOD: self._handle_forwarded}

    async def handle(self, request: http.Request) -> http.Response:
        """Return the response to an operator's request.

        :raises GreengagehavenError: it is refused; the HTTP server turns the error
            into a response.
        """
        if request.path == "/healthz":
            return _json_response({"live": self._host.storage_error is None})
        if request.path == "/readyz":
            return self._get_readiness()
        if request.path == "/metrics":
            return self._get_metrics()
        author = self._authenticate(request)
        return await self._dispatch(request, author, may_forward=True)

    async def _dispatch(
        self, request: http.Request, author: str, *, may_forward: bool
    ) -> http.Response:
        route = self._find_route(request)
        is_status = route == self._get_status
        timeout_s = STATUS_TIMEOUT_S if is_status else LEADER_TIMEOUT_S
        deadline = self._host.clock.monotonic() + timeout_s
        while True:
            try:
                if self._host.is_leader:
                    return await route(request, author)
                if may_forward and self._host.leader_address is not None:
                    return await self._forward(request, author)
                raise exceptions.QuorumLostError("no leader is known")
            except (exceptions.NotLeaderError, exceptions.QuorumLostError) as error:
                if not may_forward:
                    # The host that forwarded the request retries with the next leader.
                    raise
                # An election takes about a second. The change id makes a retry with
                # the next leader idempotent.
                if self._host.clock.monotonic() < deadline:
                    await asyncio.sleep(RETRY_DELAY_S)
                    continue
                if is_status:
                    status = await control_status.collect(self._host, has_quorum=False)
                    return _json_response(status)
                raise _as_quorum_lost(error) from error

    async def _forward(self, request: http.Request, author: str) -> http.Response:
        forwarded = messages.ForwardedRequest(
            method=request.method,
            path=request.path,
            parameters=dict(request.parameters),
            author=author,
            body=request.body,
        )
        address = self._host.leader_address or ""
        try:
            reply = await self._host.channel.call(
                address,
                OPERATE_METHOD,
                codec.encode_msgpack(forwarded),
                timeout=FORWARD_TIMEOUT_S,
            )
        except exceptions.PeerError as error:
            raise exceptions.QuorumLostError(
                f"the leader does not answer ({error.detail}); the change may be "
                "accepted, resend it with the same change id"
            ) from error
        response = codec.decode_msgpack(reply, messages.ForwardedResponse)
        if response.status == 0:
            raise exceptions.NotLeaderError(leader=None)
        return http.Response(
            status=response.status,
            body=response.body,
            content_type=response.content_type,
        )

    async def _handle_forwarded(self, body: bytes) -> bytes:
        forwarded = codec.decode_msgpack(body, messages.ForwardedRequest)
        request = http.Request(
            method=forwarded.method,
            path=forwarded.path,
            parameters=forwarded.parameters,
            headers=http.Headers(),
            body=forwarded.body,
            peer="",
        )
        try:
            if not self._host.is_leader:
                raise exceptions.NotLeaderError(leader=None)
            response = await self._dispatch(
                request, forwarded.author, may_forward=False
            )
        except (exceptions.NotLeaderError, exceptions.QuorumLostError):
            # Status 0 tells the forwarding host to retry with the next leader.
            response = http.Response(status=0)
        except exceptions.GreengagehavenError as error:
            problem_body = problem.from_error(error)
            response = http.Response(
                status=problem_body.status,
                body=codec.encode_json(problem_body),
                content_type=problem.CONTENT_TYPE,
            )
        return codec.encode_msgpack(
            messages.ForwardedResponse(
                status=response.status,
                content_type=response.content_type,
                body=response.body,
            )
        )

    def _find_route(self, request: http.Request) -> Route:
        parts = request.path.split("/")
        is_api_path = len(parts) in (3, 4) and parts[:2] == ["", "v1"]
        nouns = {noun for _, noun in self._routes}
        if not is_api_path or parts[2] not in nouns:
            raise exceptions.NotFoundError(f"no such path: {request.path}")
        route = self._routes.get((request.method, parts[2]))
        if route is None:
            raise exceptions.MethodNotAllowedError(
                f"{request.method} is not allowed for {request.path}"
            )
        return route

    def _authenticate(self, request: http.Request) -> str:
        if not self._operators_by_digest:
            return ANONYMOUS_AUTHOR
        scheme, _, token = (request.headers.get("authorization") or "").partition(" ")
        if scheme.lower() == "bearer":
            token_digest = _sha256(token)
            for digest, name in self._operators_by_digest.items():
                if hmac.compare_digest(digest, token_digest):
                    return name
        raise exceptions.UnauthorizedError("Authorization: Bearer TOKEN is required")

    def _get_readiness(self) -> http.Response:
        host = self._host
        is_ready = host.storage_error is None and (
            host.is_leader or bool(host.leader_address)
        )
        return http.Response(
            status=200 if is_ready else 503, body=codec.encode_json({"ready": is_ready})
        )

    def _get_metrics(self) -> http.Response:
        if self._registry is None:
            raise exceptions.NotFoundError("metrics are not enabled")
        body = prometheus_client.generate_latest(self._registry)
        return http.Response(status=200, body=body, content_type=METRICS_CONTENT_TYPE)

    async def _get_status(self, _request: http.Request, _author: str) -> http.Response:
        await self._host.read()
        return _json_response(await control_status.collect(self._host, has_quorum=True))

    async def _get_document(
        self, _request: http.Request, _author: str
    ) -> http.Response:
        state = await self._host.read()
        if not state.document:
            raise exceptions.NotFoundError("no document is in force yet")
        return _json_response(state)

    async def _get_history(self, request: http.Request, _author: str) -> http.Response:
        return await self._get_records(request, accepted_only=True)

    async def _get_audit(self, request: http.Request, _author: str) -> http.Response:
        return await self._get_records(request, accepted_only=False)

    async def _get_records(
        self, request: http.Request, *, accepted_only: bool
    ) -> http.Response:
        limit = _parse_limit(request)
        await self._host.read()
        audit_trail = self._host.state_machine.audit
        records = audit_trail.newest(limit, accepted_only=accepted_only)
        return _json_response([_audit_log_entry(record) for record in records])

    async def _get_proof(self, request: http.Request, _author: str) -> http.Response:
        state = await self._host.read()
        digest = _resource_name(request) or state.digest
        machine = self._host.state_machine
        if digest in machine.withdrawals_by_digest:
            raise exceptions.ProofError(f"digest {digest} was withdrawn")
        proof = machine.proofs_by_digest.get(digest)
        if not proof:
            raise exceptions.ProofError(f"digest {digest} has no proof here")
        document = state.document if digest == state.digest else b""
        return _json_response(
            operator.ProofDocument(digest=digest, proof=proof, document=document)
        )

    async def _get_withdrawal(
        self, request: http.Request, _author: str
    ) -> http.Response:
        await self._host.read()
        digest = _resource_name(request)
        statement = self._host.state_machine.withdrawals_by_digest.get(digest)
        if statement is None:
            raise exceptions.NotFoundError(f"digest {digest} was not withdrawn")
        return _json_response(
            operator.WithdrawalDocument(digest=digest, statement=statement)
        )

    async def _post_document(self, request: http.Request, author: str) -> http.Response:
        body = codec.decode_json(request.body, operator.DocumentBody)
        change = configuration.DocumentChange(
            change_id=_checked_change_id(body.change_id),
            author=author,
            document=body.document,
            expected_revision=body.expected_revision,
            proof=body.proof,
        )
        return await self._propose(change)

    async def _post_zone(self, request: http.Request, author: str) -> http.Response:
        body = codec.decode_json(request.body, operator.ZoneBody)
        change = configuration.ZoneChange(
            change_id=_checked_change_id(body.change_id),
            author=author,
            zone=_resource_name(request),
            drained=body.drained,
            force=body.force,
        )
        return await self._propose(change)

    async def _post_proof(self, request: http.Request, author: str) -> http.Response:
        body = codec.decode_json(request.body, operator.ProofBody)
        change = configuration.ProofChange(
            change_id=_checked_change_id(body.change_id),
            author=author,
            digest=body.digest,
        )
        return await self._propose(change)

    async def _post_withdrawal(
        self, request: http.Request, author: str
    ) -> http.Response:
        body = codec.decode_json(request.body, operator.WithdrawalBody)
        change = configuration.WithdrawalChange(
            change_id=_checked_change_id(body.change_id),
            author=author,
            digest=body.digest,
            statement=body.statement,
        )
        return await self._propose(change)

    async def _propose(self, change: configuration.Change) -> http.Response:
        record = await self._host.propose_audited(change)
        if not record.accepted:
            error = exceptions.ChangeRefusedError(record.detail, code=record.code)
            error.status = HTTP_STATUS_BY_CODE.get(record.code, error.status)
            raise error
        result = record.result
        return _json_response(
            operator.ChangeBody(
                change_id=result.change_id,
                revision=result.revision,
                code=result.code,
                made_at=result.made_at,
                digest=record.to_digest,
            )
        )


def _json_response(value: typing.Any) -> http.Response:
    return http.Response(status=200, body=codec.encode_json(value))


def _sha256(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def _resource_name(request: http.Request) -> str:
    parts = request.path.split("/")
    return parts[3] if len(parts) == 4 else ""


def _checked_change_id(value: str) -> str:
    if not 0 < len(value) <= MAX_CHANGE_ID_CHARACTERS or not value.isprintable():
        raise exceptions.InvalidRequestError(
            place="body.change_id",
            value=value[:MAX_CHANGE_ID_CHARACTERS],
            expected=f"1 to {MAX_CHANGE_ID_CHARACTERS} printable characters",
        )
    return value


def _parse_limit(request: http.Request) -> int:
    value = request.parameters.get("limit", str(DEFAULT_RECORD_LIMIT))
    if not value.isdecimal() or not 0 < int(value) <= MAX_RECORD_LIMIT:
        raise exceptions.InvalidRequestError(
            place="limit",
            value=value,
            expected=f"a number from 1 to {MAX_RECORD_LIMIT}",
        )
    return int(value)


def _audit_log_entry(record: audit.AuditRecord) -> operator.AuditLogEntry:
    fields = msgspec.structs.asdict(record)
    return operator.AuditLogEntry(**{**fields, "made_at": record.result.made_at})


def _as_quorum_lost(error: exceptions.ControlError) -> exceptions.ControlError:
    if isinstance(error, exceptions.NotLeaderError):
        return exceptions.QuorumLostError(
            "no leader with a quorum; resend with the same change id later"
        )
    return error
