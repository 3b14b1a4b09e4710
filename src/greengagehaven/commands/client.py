"""Client of the control hosts' operator API, and options shared by commands."""

import asyncio
import datetime
import pathlib
import time
import typing
import urllib.parse
import uuid

import click
import msgspec

from greengagehaven import exceptions
from greengagehaven.protocol import codec, search
from greengagehaven.transport import http_client, tls

T = typing.TypeVar("T")

_DEFAULT_WAIT_S = 30.0
_DEFAULT_CONTROL_ADDRESS = "127.0.0.1:7300"
_AUTHORITY_META_KEY = "greengagehaven.control_ca"
_REQUEST_TIMEOUT = datetime.timedelta(seconds=12)


class ControlClient:
    """Synchronous client that tries control hosts in turn until one responds.

    :param addresses: operator addresses of the control hosts, ``IP:PORT``.
    :param token: the operator's bearer token; empty to send none.
    :param authority: PEM CA of their certificates; ``None`` for plain TCP.
    """

    def __init__(
        self,
        *,
        addresses: typing.Sequence[str],
        token: str = "",
        authority: pathlib.Path | None = None,
    ) -> None:
        self._addresses = list(addresses)
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._tls = tls.client_context(ca=authority)

    def get(self, path: str, kind: type[T], **parameters: object) -> T:
        """Send a GET request and return its decoded body.

        :raises ChangeRefusedError: a control host refused the request.
        :raises ControlUnreachableError: no control host answered with a quorum.
        """
        query = urllib.parse.urlencode(parameters)
        target = f"{path}?{query}" if query else path
        return self._call("GET", target, b"", kind)

    def post(self, path: str, body: msgspec.Struct, kind: type[T]) -> T:
        """Send a POST request and return its decoded body.

        Retrying on another host is safe since every change carries its change id.

        :raises ChangeRefusedError: a control host refused the change.
        :raises ControlUnreachableError: no control host answered with a quorum.
        """
        return self._call("POST", path, codec.encode_json(body), kind)

    def _call(self, method: str, target: str, body: bytes, kind: type[T]) -> T:
        reason = "no control host address was given"
        for address in self._addresses:
            try:
                reply = asyncio.run(self._request(address, method, target, body))
            except exceptions.UpstreamError as error:
                reason = f"{address}: {error.detail}"
                continue
            if reply.status == 200:
                return codec.decode_json(reply.body, kind, place=target)
            problem = codec.decode_json(reply.body, search.Problem, place=target)
            refusal = exceptions.ChangeRefusedError(problem.detail, code=problem.code)
            if problem.code != exceptions.QuorumLostError.code:
                raise refusal
            reason = f"{address}: {problem.code}: {problem.detail}"
        raise exceptions.ControlUnreachableError(reason)

    async def _request(self, address: str, method: str, target: str, body: bytes):
        client = http_client.HttpClient(address=address, tls=self._tls)
        try:
            return await client.request(
                method,
                target,
                body=body,
                headers=self._headers,
                timeout=_REQUEST_TIMEOUT,
            )
        finally:
            client.close()


def options(command: typing.Callable) -> typing.Callable:
    """Add the options for the control hosts and the operator's token."""
    command = click.option(
        "--control-ca",
        type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
        expose_value=False,
        callback=_store_authority,
        help="PEM CA of the control hosts' certificates; without it the connection "
        "is not encrypted.",
    )(command)
    command = click.option(
        "--token",
        default="",
        help="Bearer token of the operator.",
        show_default=False,
    )(command)
    return click.option(
        "--control",
        "controls",
        multiple=True,
        default=(_DEFAULT_CONTROL_ADDRESS,),
        show_default=True,
        metavar="IP:PORT",
        help="Operator address of a control host; may be given several times.",
    )(command)


def from_options(addresses: typing.Sequence[str], token: str) -> ControlClient:
    """Return a client built from the options of the current command."""
    authority = click.get_current_context().meta.get(_AUTHORITY_META_KEY)
    return ControlClient(addresses=addresses, token=token, authority=authority)


def _store_authority(
    context: click.Context, _option: click.Parameter, path: pathlib.Path | None
) -> None:
    context.meta[_AUTHORITY_META_KEY] = path


def change_id_option(command: typing.Callable) -> typing.Callable:
    """Add the option for the id that makes a change idempotent."""
    return click.option(
        "--change-id",
        default="",
        help="Id of this change; sending it again returns the first result.",
    )(command)


def wait_options(command: typing.Callable) -> typing.Callable:
    """Add the options for waiting until a change is in force."""
    command = click.option(
        "--timeout", default=_DEFAULT_WAIT_S, help="Maximum wait in seconds."
    )(command)
    return click.option(
        "--wait", is_flag=True, help="Wait until it is in force on every entry host."
    )(command)


def json_option(command: typing.Callable) -> typing.Callable:
    """Add the option for JSON output."""
    return click.option(
        "--json", "as_json", is_flag=True, help="Print the result as JSON."
    )(command)


def new_change_id(given: str) -> str:
    """Return the given id, or a new one, which is printed to standard error.

    An operator who got no reply needs the id to send the change again safely.
    """
    if given:
        return given
    change_id = uuid.uuid4().hex
    click.echo(f"change id {change_id}", err=True)
    return change_id


def print_json(value: typing.Any) -> None:
    """Print a value as indented JSON."""
    click.echo(msgspec.json.format(codec.encode_json(value), indent=2).decode())


def wait_until(
    condition: typing.Callable[[], bool], timeout: float, pause: float = 0.1
) -> bool:
    """Poll a condition; return whether it became true before the timeout.

    :param timeout: seconds until giving up.
    :param pause: seconds between two attempts.
    """
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() >= deadline:
            return False
        time.sleep(pause)
    return True
