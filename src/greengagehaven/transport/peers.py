"""Unary calls of bytes between hosts, over gRPC without generated code.

The bodies are opaque here; ``protocol.codec`` gives them their types. Every
call carries the token that the hosts of one environment share.
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
REPLACE_INTERVAL_S = 5.0
TOKEN_KEY = "greengagehaven-token-bin"

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
    # With SO_REUSEPORT a second process binds the same port without an error
    # and gets half of the first one's calls.
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
    # A host that restarts must be reached at once; gRPC's own backoff grows to
    # two minutes.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 500),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    # Channels share one connection for each address unless the pool is local;
    # then a new channel would go on using the connection that fell silent.
    ("grpc.use_local_subchannel_pool", 1),
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tls:
    """Certificates for calls between hosts, as PEM bytes.

    :param authority: certificate that signed those of all hosts.
    :param certificate: this host's certificate chain.
    :param private_key: key of ``certificate``.
    :param server_name: name that all hosts' certificates carry.
    """

    authority: bytes
    certificate: bytes
    private_key: bytes
    server_name: str = "greengagehaven"


class PeerServer:
    """Takes calls of other hosts and passes them to handlers.

    :param handlers_by_method: handler of each ``SERVICE/METHOD``. A handler
        that began runs to its end even when its caller gave up.
    :param token: secret that a caller has to show, ``None`` to accept all.
    :param clock: source of time.
    :param tls: certificates, ``None`` for plain TCP.
    """

    def __init__(
        self,
        *,
        handlers_by_method: dict[str, peers.Handler],
        token: str | None,
        clock: clocks.Clock,
        tls: Tls | None = None,
    ) -> None:
        self._handlers = _Handlers(handlers_by_method=handlers_by_method, token=token)
        self._clock = clock
        self._tls = tls
        self._server: grpc.aio.Server | None = None

    @property
    def bytes_received(self) -> int:
        """Return the bytes of all request bodies so far."""
        return self._handlers.bytes_received

    @property
    def bytes_sent(self) -> int:
        """Return the bytes of all answer bodies so far."""
        return self._handlers.bytes_sent

    async def start(self, host: str, port: int) -> str:
        """Listen, and return the bound ``IP:PORT``.

        :param host: IP number to bind.
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
                place="peer address", value=address, expected="an address that is free"
            ) from error
        await server.start()
        self._server = server
        return settings.format_address(host, bound_port)

    async def stop(self, grace: datetime.timedelta) -> None:
        """Stop accepting, finish what runs for up to ``grace``, then cancel."""
        if self._server is None:
            return
        server, self._server = self._server, None
        started = self._clock.monotonic()
        await server.stop(grace.total_seconds())
        left = grace.total_seconds() - (self._clock.monotonic() - started)
        await self._handlers.finish(max(0.0, left))

    def _bind(self, server: grpc.aio.Server, address: str) -> int:
        if self._tls is None:
            return server.add_insecure_port(address)
        credentials = grpc.ssl_server_credentials(
            [(self._tls.private_key, self._tls.certificate)],
            root_certificates=self._tls.authority,
            require_client_auth=True,
        )
        return server.add_secure_port(address, credentials)


class _Handlers(grpc.GenericRpcHandler):
    """Finds the handler of a method and checks the caller's token."""

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
        """Return the handler of a call, ``None`` where there is none."""
        method = handler_call_details.method.removeprefix("/")
        handler = self._handlers_by_method.get(method)
        if handler is None:
            return None
        is_known = self._is_token_known(handler_call_details.invocation_metadata)

        async def answer(body: bytes, context: grpc.aio.ServicerContext) -> bytes:
            if not is_known:
                log.warning("peer_rejected", method=method, peer=context.peer())
                await context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong token")
            return await self._run(method, handler, body, context)

        return grpc.unary_unary_rpc_method_handler(answer)

    async def finish(self, seconds: float) -> None:
        """Wait for handlers that still run, then cancel them."""
        if self._tasks:
            _, late = await asyncio.wait(self._tasks, timeout=seconds)
            for task in late:
                task.cancel()

    def _is_token_known(self, metadata: abc.Iterable[tuple[str, bytes]] | None) -> bool:
        if self._token is None:
            return True
        shown = [value for key, value in metadata or () if key == TOKEN_KEY]
        # Compared in constant time: the time of an ordinary comparison tells
        # how many leading bytes of a guess are right.
        return len(shown) == 1 and hmac.compare_digest(bytes(shown[0]), self._token)

    async def _run(
        self,
        method: str,
        handler: peers.Handler,
        body: bytes,
        context: grpc.aio.ServicerContext,
    ) -> bytes:
        self.bytes_received += len(body)
        # gRPC cancels its own task when the caller's timeout ends. A handler
        # that is cut off between writing to disk and noting it in memory would
        # leave the two apart, so it runs shielded in a task of its own.
        task = asyncio.ensure_future(handler(body))
        self._tasks.add(task)
        task.add_done_callback(self._forget)
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

    def _forget(self, task: asyncio.Task[bytes]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()


@dataclasses.dataclass(kw_only=True, slots=True)
class _Channel:
    """A gRPC channel and when something last came back on it."""

    channel: grpc.aio.Channel
    heard_at: float


class PeerClient:
    """Calls other hosts; implements ``coordination.peers.PeerChannel``.

    Channels are kept for each address, the longest unused closed beyond
    ``MAX_CHANNELS``. One on which a call timed out while nothing else came back
    is replaced: something between the hosts may have lost track of its
    connection, while a new one works.

    :param token: secret shown with every call, ``None`` for none.
    :param clock: source of time.
    :param tls: certificates, ``None`` for plain TCP.
    """

    def __init__(
        self, *, token: str | None, clock: clocks.Clock, tls: Tls | None = None
    ) -> None:
        self._metadata = None if token is None else ((TOKEN_KEY, token.encode()),)
        self._clock = clock
        self._tls = tls
        self._channels_by_address: collections.OrderedDict[str, _Channel] = (
            collections.OrderedDict()
        )
        self._replace_at_by_address: dict[str, float] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self.calls = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    async def call(
        self, address: str, method: str, body: bytes, *, timeout: float
    ) -> bytes:
        """Call ``SERVICE/METHOD`` on the host at ``address`` (``IP:PORT``).

        :param timeout: seconds to wait.
        :raises PeerRejectedError: the host refused this host's token.
        :raises PeerError: no answer came in time, or the handler failed.
        """
        kept = self._channel_of(address)
        started = self._clock.monotonic()
        multicallable = kept.channel.unary_unary(f"/{method}")
        self.calls += 1
        self.bytes_sent += len(body)
        try:
            answer = await multicallable(body, timeout=timeout, metadata=self._metadata)
        except grpc.aio.AioRpcError as error:
            self._note_failure(address, kept, started, error.code())
            raise _peer_error(address, method, error) from error
        except grpc.aio.UsageError as error:
            raise exceptions.PeerError(f"{address} {method}: channel closed") from error
        kept.heard_at = self._clock.monotonic()
        self.bytes_received += len(answer)
        return answer

    async def close(self) -> None:
        """Close every channel; calls in flight are cut off."""
        kept = list(self._channels_by_address.values())
        self._channels_by_address.clear()
        for task in list(self._closing):
            task.cancel()
        await asyncio.gather(*(item.channel.close() for item in kept))

    def forget(self, address: str) -> None:
        """Close the channel to a host that left, if there is one."""
        kept = self._channels_by_address.pop(address, None)
        if kept is not None:
            self._close_later(kept)

    def _channel_of(self, address: str) -> _Channel:
        kept = self._channels_by_address.get(address)
        if kept is None:
            channel = self._open(address)
            kept = _Channel(channel=channel, heard_at=self._clock.monotonic())
            self._channels_by_address[address] = kept
            if len(self._channels_by_address) > MAX_CHANNELS:
                unused_address, unused = self._channels_by_address.popitem(last=False)
                self._replace_at_by_address.pop(unused_address, None)
                self._close_later(unused)
        self._channels_by_address.move_to_end(address)
        return kept

    def _open(self, address: str) -> grpc.aio.Channel:
        scheme = "ipv6" if address.startswith("[") else "ipv4"
        target = f"{scheme}:{address}"
        if self._tls is None:
            return grpc.aio.insecure_channel(target, options=_CHANNEL_OPTIONS)
        credentials = grpc.ssl_channel_credentials(
            self._tls.authority, self._tls.private_key, self._tls.certificate
        )
        name = ("grpc.ssl_target_name_override", self._tls.server_name)
        options = (*_CHANNEL_OPTIONS, name)
        return grpc.aio.secure_channel(target, credentials, options=options)

    def _note_failure(
        self, address: str, kept: _Channel, started: float, code: grpc.StatusCode
    ) -> None:
        if code is not grpc.StatusCode.DEADLINE_EXCEEDED:
            if code is not grpc.StatusCode.UNAVAILABLE:
                kept.heard_at = self._clock.monotonic()
            return
        is_current = self._channels_by_address.get(address) is kept
        if not is_current or kept.heard_at > started:
            return
        # Not again and again: a host that is slow, or this one, would get a new
        # connection to set up with every call that comes too late, and grow
        # slower still.
        now = self._clock.monotonic()
        if now >= self._replace_at_by_address.get(address, -math.inf):
            self._replace_at_by_address[address] = now + REPLACE_INTERVAL_S
            log.debug("peer_channel_replaced", address=address)
            self.forget(address)

    def _close_later(self, kept: _Channel) -> None:
        task = asyncio.ensure_future(_close(kept.channel))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


async def _close(channel: grpc.aio.Channel) -> None:
    with contextlib.suppress(grpc.aio.UsageError):
        await channel.close(CLOSE_GRACE_S)


def _peer_error(
    address: str, method: str, error: grpc.aio.AioRpcError
) -> exceptions.PeerError:
    detail = f"{address} {method}: {error.code().name.lower()} {error.details()}"
    if error.code() is grpc.StatusCode.UNAUTHENTICATED:
        return exceptions.PeerRejectedError(detail)
    return exceptions.PeerError(detail)
