"""Unary calls between hosts over gRPC, without generated code.

Message bodies are opaque bytes here; ``protocol.codec`` encodes and decodes them.
Every call carries the token shared by the hosts of an environment.
"""

import asyncio
import collections
import contextlib
import dataclasses
import datetime
import hmac
import math
from collections import abc

import grpc
import grpc.aio

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log, settings
from greengagehaven.coordination import peers

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_CHANNELS = 256
MAX_CONCURRENT_CALLS = 1000
CLOSE_GRACE_S = 5.0
MIN_REPLACE_INTERVAL_S = 5.0
TOKEN_METADATA_KEY = "greengagehaven-token-bin"

_KEEPALIVE_OPTIONS = (
    ("grpc.keepalive_time_ms", 5_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.http2.max_pings_without_data", 0),
)
_SIZE_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
)
_SERVER_OPTIONS = (
    *_KEEPALIVE_OPTIONS,
    *_SIZE_OPTIONS,
    # With SO_REUSEPORT, a second process could bind the same port without an error
    # and would receive about half of the first one's calls.
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", 1_000),
    ("grpc.http2.max_ping_strikes", 0),
)
_CHANNEL_OPTIONS = (
    *_KEEPALIVE_OPTIONS,
    *_SIZE_OPTIONS,
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
    ("grpc.client_idle_timeout_ms", 60_000),
    # A restarted host must be reached quickly; gRPC's default backoff grows to two
    # minutes.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 500),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    # By default, channels share one connection for each address, so a replacement
    # channel would keep using the connection that stopped responding.
    ("grpc.use_local_subchannel_pool", 1),
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerTlsSettings:
    """TLS settings for calls between hosts; certificates and key are PEM data.

    :param ca: CA certificate that signed the certificates of all hosts.
    :param certificate: certificate chain of this host.
    :param private_key: private key of ``certificate``.
    :param server_name: name that the certificates of all hosts contain.
    """

    ca: bytes
    certificate: bytes
    private_key: bytes
    server_name: str = "greengagehaven"


class GrpcPeerServer:
    """gRPC server for calls from other hosts.

    :param handlers_by_method: handler of each ``SERVICE/METHOD``. A handler that
        was started runs to its end even if the caller cancels the call.
    :param token: secret that callers must send, ``None`` to accept all calls.
    :param clock: monotonic clock.
    :param tls: TLS settings, ``None`` for plain TCP.
    """

    def __init__(
        self,
        *,
        handlers_by_method: dict[str, peers.Handler],
        token: str | None,
        clock: clocks.Clock,
        tls: PeerTlsSettings | None = None,
    ) -> None:
        self._handlers = _Handlers(handlers_by_method=handlers_by_method, token=token)
        self._clock = clock
        self._tls = tls
        self._server: grpc.aio.Server | None = None

    @property
    def bytes_received(self) -> int:
        """Return the total size of request bodies received, in bytes."""
        return self._handlers.bytes_received

    @property
    def bytes_sent(self) -> int:
        """Return the total size of reply bodies sent, in bytes."""
        return self._handlers.bytes_sent

    async def start(self, host: str, port: int) -> str:
        """Start listening and return the bound ``IP:PORT``.

        :param host: IP address to bind.
        :param port: port to bind, 0 for any free one.
        :raises SettingError: the address cannot be bound.
        """
        server = grpc.aio.server(
            options=_SERVER_OPTIONS, maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS
        )
        server.add_generic_rpc_handlers((self._handlers,))
        address = settings.format_address(host, port)
        try:
            bound_port = self._bind(server, address)
        except RuntimeError as error:
            raise exceptions.SettingError(
                place="peer address",
                value=address,
                expected="an address that is not in use",
            ) from error
        await server.start()
        self._server = server
        return settings.format_address(host, bound_port)

    async def stop(self, grace: datetime.timedelta) -> None:
        """Stop the server; cancel handlers still running after ``grace``."""
        if self._server is None:
            return
        server, self._server = self._server, None
        started = self._clock.monotonic()
        await server.stop(grace.total_seconds())
        remaining = grace.total_seconds() - (self._clock.monotonic() - started)
        await self._handlers.finish(max(0.0, remaining))

    def _bind(self, server: grpc.aio.Server, address: str) -> int:
        if self._tls is None:
            return server.add_insecure_port(address)
        credentials = grpc.ssl_server_credentials(
            [(self._tls.private_key, self._tls.certificate)],
            root_certificates=self._tls.ca,
            require_client_auth=True,
        )
        return server.add_secure_port(address, credentials)


class _Handlers(grpc.GenericRpcHandler):
    """Dispatches calls to handlers by method and checks the caller's token."""

    def __init__(
        self, *, handlers_by_method: dict[str, peers.Handler], token: str | None
    ) -> None:
        self._handlers_by_method = handlers_by_method
        self._token = None if token is None else token.encode()
        self._tasks: set[asyncio.Task[bytes]] = set()
        self.bytes_received = 0
        self.bytes_sent = 0

    def service(
        self, handler_call_details: grpc.HandlerCallDetails
    ) -> grpc.RpcMethodHandler | None:
        """Return the gRPC handler of a call, or ``None`` for an unknown method."""
        method = handler_call_details.method.removeprefix("/")
        handler = self._handlers_by_method.get(method)
        if handler is None:
            return None
        is_authenticated = self._is_token_valid(
            handler_call_details.invocation_metadata
        )

        async def answer(body: bytes, context: grpc.aio.ServicerContext) -> bytes:
            if not is_authenticated:
                log.warning("peer_rejected", method=method, peer=context.peer())
                await context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong token")
            return await self._run(method, handler, body, context)

        return grpc.unary_unary_rpc_method_handler(answer)

    async def finish(self, seconds: float) -> None:
        """Wait up to ``seconds`` for running handlers, then cancel them."""
        if self._tasks:
            _, running = await asyncio.wait(self._tasks, timeout=seconds)
            for task in running:
                task.cancel()

    def _is_token_valid(self, metadata: abc.Iterable[tuple[str, bytes]] | None) -> bool:
        if self._token is None:
            return True
        tokens = [value for key, value in metadata or () if key == TOKEN_METADATA_KEY]
        # Constant-time comparison: the duration of an ordinary one reveals how many
        # leading bytes of a guessed token are correct.
        return len(tokens) == 1 and hmac.compare_digest(bytes(tokens[0]), self._token)

    async def _run(
        self,
        method: str,
        handler: peers.Handler,
        body: bytes,
        context: grpc.aio.ServicerContext,
    ) -> bytes:
        self.bytes_received += len(body)
        # gRPC cancels this coroutine when the caller's timeout ends. A handler that
        # was interrupted between writing to disk and updating memory would leave the
        # two inconsistent, so it runs shielded in its own task.
        task = asyncio.ensure_future(handler(body))
        self._tasks.add(task)
        task.add_done_callback(self._discard_task)
        try:
            answer = await asyncio.shield(task)
        except exceptions.GreengagehavenError as error:
            detail = f"{error.code}: {error.detail}"
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, detail)
        except Exception as error:
            log.error("peer_handler_failed", method=method, error=repr(error))
            await context.abort(grpc.StatusCode.INTERNAL, type(error).__name__)
        self.bytes_sent += len(answer)
        return answer

    def _discard_task(self, task: asyncio.Task[bytes]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()


@dataclasses.dataclass(kw_only=True, slots=True)
class _CachedChannel:
    """A gRPC channel and the monotonic time of its creation or last response."""

    channel: grpc.aio.Channel
    last_response_at: float


class GrpcPeerClient:
    """gRPC client for calls to other hosts.

    Implements ``coordination.peers.PeerChannel``. One channel is cached for each
    address; beyond ``MAX_CHANNELS``, the least recently used one is closed. A channel
    on which a call timed out, with no response to any other call meanwhile, is
    replaced: a network device may have dropped the state of its connection, while a
    new connection works.

    :param token: secret sent with every call, ``None`` for none.
    :param clock: monotonic clock.
    :param tls: TLS settings, ``None`` for plain TCP.
    :ivar calls: number of calls made.
    :ivar bytes_sent: total size of request bodies, in bytes.
    :ivar bytes_received: total size of reply bodies, in bytes.
    """

    def __init__(
        self,
        *,
        token: str | None,
        clock: clocks.Clock,
        tls: PeerTlsSettings | None = None,
    ) -> None:
        self._metadata = (
            None if token is None else ((TOKEN_METADATA_KEY, token.encode()),)
        )
        self._clock = clock
        self._tls = tls
        self._channels_by_address: collections.OrderedDict[str, _CachedChannel] = (
            collections.OrderedDict()
        )
        self._next_replacement_by_address: dict[str, float] = {}
        self._closing_tasks: set[asyncio.Task[None]] = set()
        self.calls = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    async def call(
        self, address: str, method: str, body: bytes, *, timeout: float
    ) -> bytes:
        """Call ``SERVICE/METHOD`` on the host at ``address`` (``IP:PORT``).

        :param timeout: seconds to wait for the reply.
        :raises PeerRejectedError: the host rejected this host's token.
        :raises PeerError: no reply arrived in time, or the handler failed.
        """
        cached = self._channel_for(address)
        started = self._clock.monotonic()
        multicallable = cached.channel.unary_unary(f"/{method}")
        self.calls += 1
        self.bytes_sent += len(body)
        try:
            answer = await multicallable(body, timeout=timeout, metadata=self._metadata)
        except grpc.aio.AioRpcError as error:
            self._record_failure(address, cached, started, error.code())
            raise _to_peer_error(address, method, error) from error
        except grpc.aio.UsageError as error:
            raise exceptions.PeerError(
                f"{address} {method}: channel was closed"
            ) from error
        cached.last_response_at = self._clock.monotonic()
        self.bytes_received += len(answer)
        return answer

    async def close(self) -> None:
        """Close every channel; calls in flight fail."""
        cached_channels = list(self._channels_by_address.values())
        self._channels_by_address.clear()
        for task in list(self._closing_tasks):
            task.cancel()
        await asyncio.gather(*(cached.channel.close() for cached in cached_channels))

    def close_channel(self, address: str) -> None:
        """Close the channel to an address, if there is one."""
        cached = self._channels_by_address.pop(address, None)
        if cached is not None:
            self._close_in_background(cached)

    def _channel_for(self, address: str) -> _CachedChannel:
        cached = self._channels_by_address.get(address)
        if cached is None:
            channel = self._open(address)
            cached = _CachedChannel(
                channel=channel, last_response_at=self._clock.monotonic()
            )
            self._channels_by_address[address] = cached
            if len(self._channels_by_address) > MAX_CHANNELS:
                old_address, old_channel = self._channels_by_address.popitem(last=False)
                self._next_replacement_by_address.pop(old_address, None)
                self._close_in_background(old_channel)
        self._channels_by_address.move_to_end(address)
        return cached

    def _open(self, address: str) -> grpc.aio.Channel:
        scheme = "ipv6" if address.startswith("[") else "ipv4"
        target = f"{scheme}:{address}"
        if self._tls is None:
            return grpc.aio.insecure_channel(target, options=_CHANNEL_OPTIONS)
        credentials = grpc.ssl_channel_credentials(
            self._tls.ca, self._tls.private_key, self._tls.certificate
        )
        name = ("grpc.ssl_target_name_override", self._tls.server_name)
        options = (*_CHANNEL_OPTIONS, name)
        return grpc.aio.secure_channel(target, credentials, options=options)

    def _record_failure(
        self,
        address: str,
        cached: _CachedChannel,
        started: float,
        code: grpc.StatusCode,
    ) -> None:
        if code is not grpc.StatusCode.DEADLINE_EXCEEDED:
            if code is not grpc.StatusCode.UNAVAILABLE:
                cached.last_response_at = self._clock.monotonic()
            return
        is_current = self._channels_by_address.get(address) is cached
        if not is_current or cached.last_response_at > started:
            return
        # Replacements are rate-limited. Otherwise, if this host or the other one is
        # slow, each late call would cause a new connection, which slows it further.
        now = self._clock.monotonic()
        if now >= self._next_replacement_by_address.get(address, -math.inf):
            self._next_replacement_by_address[address] = now + MIN_REPLACE_INTERVAL_S
            log.debug("peer_channel_replaced", address=address)
            self.close_channel(address)

    def _close_in_background(self, cached: _CachedChannel) -> None:
        task = asyncio.ensure_future(_close(cached.channel))
        self._closing_tasks.add(task)
        task.add_done_callback(self._closing_tasks.discard)


async def _close(channel: grpc.aio.Channel) -> None:
    with contextlib.suppress(grpc.aio.UsageError):
        await channel.close(CLOSE_GRACE_S)


def _to_peer_error(
    address: str, method: str, error: grpc.aio.AioRpcError
) -> exceptions.PeerError:
    detail = f"{address} {method}: {error.code().name.lower()} {error.details()}"
    if error.code() is grpc.StatusCode.UNAUTHENTICATED:
        return exceptions.PeerRejectedError(detail)
    return exceptions.PeerError(detail)
