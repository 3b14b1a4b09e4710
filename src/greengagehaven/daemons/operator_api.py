"""Operators' HTTP interface of a control host."""

import asyncio
import hashlib
import hmac
import typing
from collections import abc

import msgspec
import prometheus_client

from greengagehaven import exceptions
from greengagehaven.coordination import peers
from greengagehaven.daemons import control, control_status
from greengagehaven.protocol import codec, operator, problem
from greengagehaven.protocol import control as messages
from greengagehaven.state import audit, configuration
from greengagehaven.transport import http

OPERATE_METHOD = "control/operate"
FORWARD_TIMEOUT_S = 2.5
LEADER_WAIT_S = 5.0
STATUS_WAIT_S = 1.5
RETRY_PAUSE_S = 0.05
DEFAULT_LIMIT = 50
MAX_LIMIT = 20_000
ANONYMOUS = "operator"
MAX_CHANGE_ID = 128
TEXT = "text/plain; version=0.0.4; charset=utf-8"
STATUS_BY_CODE = {
    "invalid_document": 400,
    "proof_refused": 403,
    "unknown_zone": 404,
}

Route = typing.Callable[[http.Request, str], typing.Awaitable[http.Response]]


class OperatorApi:
    """Answers operators; a host that does not lead asks the leader.

    :param host: the control host.
    :param tokens_by_operator: secret of each operator by name; empty where
        anyone who reaches the port is ``operator``.
    :param registry: shown under ``/metrics``.
    """

    def __init__(
        self,
        *,
        host: control.ControlHost,
        tokens_by_operator: abc.Mapping[str, str] | None = None,
        registry: prometheus_client.CollectorRegistry | None = None,
    ) -> None:
        self._host = host
        self._registry = registry
        self._operators_by_digest = {
            _digest(token): name for name, token in (tokens_by_operator or {}).items()
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
        """Return what a ``PeerServer`` answers other control hosts with."""
        return {OPERATE_METHOD: self._handle_forwarded}

    async def handle(self, request: http.Request) -> http.Response:
        """Answer one request of an operator.

        :raises GreengagehavenError: it is refused; the server writes it out.
        """
        if request.path == "/healthz":
            return _json({"live": self._host.failure is None})
        if request.path == "/readyz":
            return self._ready()
        if request.path == "/metrics":
            return self._metrics()
        author = self._authenticate(request)
        return await self._answer(request, author, may_forward=True)

    async def _answer(
        self, request: http.Request, author: str, *, may_forward: bool
    ) -> http.Response:
        route = self._route_of(request)
        is_status = route == self._get_status
        wait = STATUS_WAIT_S if is_status else LEADER_WAIT_S
        end = self._host.clock.monotonic() + wait
        while True:
            try:
                if self._host.is_leader:
                    return await route(request, author)
                if may_forward and self._host.leader_address is not None:
                    return await self._forward(request, author)
                raise exceptions.QuorumLostError("no leader is known")
            except (exceptions.NotLeaderError, exceptions.QuorumLostError) as error:
                if not may_forward:
                    # The host that forwarded it goes on with the next leader.
                    raise
                # A change of leader takes about a second. The change id makes
                # it safe to go on with the next leader.
                if self._host.clock.monotonic() < end:
                    await asyncio.sleep(RETRY_PAUSE_S)
                    continue
                if is_status:
                    status = await control_status.collect(self._host, has_quorum=False)
                    return _json(status)
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
            data = await self._host.channel.call(
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
        response = codec.decode_msgpack(data, messages.ForwardedResponse)
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
            response = await self._answer(request, forwarded.author, may_forward=False)
        except (exceptions.NotLeaderError, exceptions.QuorumLostError):
            response = http.Response(status=0)
        except exceptions.GreengagehavenError as error:
            described = problem.from_error(error)
            response = http.Response(
                status=described.status,
                body=codec.encode_json(described),
                content_type=problem.CONTENT_TYPE,
            )
        return codec.encode_msgpack(
            messages.ForwardedResponse(
                status=response.status,
                content_type=response.content_type,
                body=response.body,
            )
        )

    def _route_of(self, request: http.Request) -> Route:
        parts = request.path.split("/")
        is_known = len(parts) in (3, 4) and parts[:2] == ["", "v1"]
        names = {noun for _, noun in self._routes}
        if not is_known or parts[2] not in names:
            raise exceptions.NotFoundError(f"no such path: {request.path}")
        route = self._routes.get((request.method, parts[2]))
        if route is None:
            raise exceptions.MethodNotAllowedError(
                f"{request.method} does not go with {request.path}"
            )
        return route

    def _authenticate(self, request: http.Request) -> str:
        if not self._operators_by_digest:
            return ANONYMOUS
        scheme, _, token = (request.headers.get("authorization") or "").partition(" ")
        if scheme.lower() == "bearer":
            shown = _digest(token)
            for digest, name in self._operators_by_digest.items():
                if hmac.compare_digest(digest, shown):
                    return name
        raise exceptions.UnauthorizedError("Authorization: Bearer TOKEN is needed")

    def _ready(self) -> http.Response:
        host = self._host
        is_ready = host.failure is None and (
            host.is_leader or bool(host.leader_address)
        )
        return http.Response(
            status=200 if is_ready else 503, body=codec.encode_json({"ready": is_ready})
        )

    def _metrics(self) -> http.Response:
        if self._registry is None:
            raise exceptions.NotFoundError("no metrics are kept")
        body = prometheus_client.generate_latest(self._registry)
        return http.Response(status=200, body=body, content_type=TEXT)

    async def _get_status(self, _request: http.Request, _author: str) -> http.Response:
        await self._host.read()
        return _json(await control_status.collect(self._host, has_quorum=True))

    async def _get_document(
        self, _request: http.Request, _author: str
    ) -> http.Response:
        state = await self._host.read()
        if not state.document:
            raise exceptions.NotFoundError("no document is in force yet")
        return _json(state)

    async def _get_history(self, request: http.Request, _author: str) -> http.Response:
        return await self._records(request, accepted_only=True)

    async def _get_audit(self, request: http.Request, _author: str) -> http.Response:
        return await self._records(request, accepted_only=False)

    async def _records(
        self, request: http.Request, *, accepted_only: bool
    ) -> http.Response:
        limit = _limit_of(request)
        await self._host.read()
        trail = self._host.machine.audit
        records = trail.newest(limit, accepted_only=accepted_only)
        return _json([_line_of(record) for record in records])

    async def _get_proof(self, request: http.Request, _author: str) -> http.Response:
        state = await self._host.read()
        digest = _last_part(request) or state.digest
        machine = self._host.machine
        if digest in machine.withdrawals_by_digest:
            raise exceptions.ProofError(f"digest {digest} was withdrawn")
        proof = machine.proofs_by_digest.get(digest)
        if not proof:
            raise exceptions.ProofError(f"digest {digest} has no proof here")
        data = state.document if digest == state.digest else b""
        return _json(operator.ProofDocument(digest=digest, proof=proof, document=data))

    async def _get_withdrawal(
        self, request: http.Request, _author: str
    ) -> http.Response:
        await self._host.read()
        digest = _last_part(request)
        statement = self._host.machine.withdrawals_by_digest.get(digest)
        if statement is None:
            raise exceptions.NotFoundError(f"digest {digest} was not withdrawn")
        return _json(operator.WithdrawalDocument(digest=digest, statement=statement))

    async def _post_document(self, request: http.Request, author: str) -> http.Response:
        body = codec.decode_json(request.body, operator.DocumentBody)
        change = configuration.DocumentChange(
            change_id=_change_id(body.change_id),
            author=author,
            document=body.document,
            expected_revision=body.expected_revision,
            proof=body.proof,
        )
        return await self._decide(change)

    async def _post_zone(self, request: http.Request, author: str) -> http.Response:
        body = codec.decode_json(request.body, operator.ZoneBody)
        change = configuration.ZoneChange(
            change_id=_change_id(body.change_id),
            author=author,
            zone=_last_part(request),
            drained=body.drained,
            force=body.force,
        )
        return await self._decide(change)

    async def _post_proof(self, request: http.Request, author: str) -> http.Response:
        body = codec.decode_json(request.body, operator.ProofBody)
        change = configuration.ProofChange(
            change_id=_change_id(body.change_id), author=author, digest=body.digest
        )
        return await self._decide(change)

    async def _post_withdrawal(
        self, request: http.Request, author: str
    ) -> http.Response:
        body = codec.decode_json(request.body, operator.WithdrawalBody)
        change = configuration.WithdrawalChange(
            change_id=_change_id(body.change_id),
            author=author,
            digest=body.digest,
            statement=body.statement,
        )
        return await self._decide(change)

    async def _decide(self, change: configuration.Change) -> http.Response:
        record = await self._host.decide(change)
        if not record.accepted:
            error = exceptions.ChangeRefusedError(record.detail, code=record.code)
            error.status = STATUS_BY_CODE.get(record.code, error.status)
            raise error
        result = record.result
        return _json(
            operator.ChangeBody(
                change_id=result.change_id,
                revision=result.revision,
                code=result.code,
                made_at=result.made_at,
                digest=record.to_digest,
            )
        )


def _json(value: typing.Any) -> http.Response:
    return http.Response(status=200, body=codec.encode_json(value))


def _digest(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def _last_part(request: http.Request) -> str:
    parts = request.path.split("/")
    return parts[3] if len(parts) == 4 else ""


def _change_id(value: str) -> str:
    if not 0 < len(value) <= MAX_CHANGE_ID or not value.isprintable():
        raise exceptions.InvalidRequestError(
            place="body.change_id",
            value=value[:MAX_CHANGE_ID],
            expected=f"1 to {MAX_CHANGE_ID} printable characters",
        )
    return value


def _limit_of(request: http.Request) -> int:
    value = request.parameters.get("limit", str(DEFAULT_LIMIT))
    if not value.isdecimal() or not 0 < int(value) <= MAX_LIMIT:
        raise exceptions.InvalidRequestError(
            place="limit", value=value, expected=f"a number from 1 to {MAX_LIMIT}"
        )
    return int(value)


def _line_of(record: audit.AuditRecord) -> operator.AuditLine:
    fields = msgspec.structs.asdict(record)
    return operator.AuditLine(**{**fields, "made_at": record.result.made_at})


def _as_quorum_lost(error: exceptions.ControlError) -> exceptions.ControlError:
    if isinstance(error, exceptions.NotLeaderError):
        return exceptions.QuorumLostError(
            "no leader with a quorum; resend with the same change id later"
        )
    return error
