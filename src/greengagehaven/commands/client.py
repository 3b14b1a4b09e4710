"""Calls to control hosts from the command line."""

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

DEFAULT_WAIT_S = 30.0
DEFAULT_CONTROL = "127.0.0.1:7300"
AUTHORITY = "greengagehaven.control_ca"
CALL_TIMEOUT = datetime.timedelta(seconds=12)


class ControlClient:
    """Asks control hosts in turn until one answers.

    :param addresses: operators' addresses, ``IP:PORT``.
    :param token: the operator's secret, empty for none.
    :param authority: PEM that signed their certificates; ``None`` for plain TCP.
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
        self._tls = tls.client_context(authority=authority)

    def get(self, path: str, kind: type[T], **parameters: object) -> T:
        """Return what a path holds."""
        query = urllib.parse.urlencode(parameters)
        target = f"{path}?{query}" if query else path
        return self._call("GET", target, b"", kind)

    def post(self, path: str, body: msgspec.Struct, kind: type[T]) -> T:
        """Send a change, which may be repeated since it carries its id."""
        return self._call("POST", path, codec.encode_json(body), kind)

    def _call(self, method: str, target: str, body: bytes, kind: type[T]) -> T:
        reason = "no control host was named"
        for address in self._addresses:
            try:
                reply = asyncio.run(self._request(address, method, target, body))
            except exceptions.UpstreamError as error:
                reason = f"{address}: {error.detail}"
                continue
            if reply.status == 200:
                return codec.decode_json(reply.body, kind, place=target)
            problem = codec.decode_json(reply.body, search.Problem, place=target)
            failure = exceptions.ChangeRefusedError(problem.detail, code=problem.code)
            if problem.code != exceptions.QuorumLostError.code:
                raise failure
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
                timeout=CALL_TIMEOUT,
            )
        finally:
            client.close()


def options(command: typing.Callable) -> typing.Callable:
    """Add the options that name the control hosts and the operator."""
    command = click.option(
        "--control-ca",
        type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
        expose_value=False,
        callback=_keep_authority,
        help="PEM authority of the control hosts' certificates; without it the "
        "connection is not encrypted.",
    )(command)
    command = click.option(
        "--token", default="", help="The operator's secret.", show_default=False
    )(command)
    return click.option(
        "--control",
        "controls",
        multiple=True,
        default=(DEFAULT_CONTROL,),
        show_default=True,
        metavar="IP:PORT",
        help="Operators' address of a control host; may be given several times.",
    )(command)


def chosen(addresses: typing.Sequence[str], token: str) -> ControlClient:
    """Return the client that a command's options name."""
    authority = click.get_current_context().meta.get(AUTHORITY)
    return ControlClient(addresses=addresses, token=token, authority=authority)


def _keep_authority(
    context: click.Context, _option: click.Parameter, path: pathlib.Path | None
) -> None:
    context.meta[AUTHORITY] = path


def change_id_option(command: typing.Callable) -> typing.Callable:
    """Add the option that makes a resend return the first result."""
    return click.option(
        "--change-id",
        default="",
        help="Id of this change; a resend with it returns the first result.",
    )(command)


def wait_options(command: typing.Callable) -> typing.Callable:
    """Add the options that wait for a change to be in force."""
    command = click.option(
        "--timeout", default=DEFAULT_WAIT_S, help="Longest wait in seconds."
    )(command)
    return click.option(
        "--wait", is_flag=True, help="Wait until it is in force everywhere."
    )(command)


def json_option(command: typing.Callable) -> typing.Callable:
    """Add the option that prints facts as JSON."""
    return click.option(
        "--json", "as_json", is_flag=True, help="Print one JSON value."
    )(command)


def new_change_id(given: str) -> str:
    """Return the given id, or a fresh one that is printed first.

    An operator whose reply was lost needs it for the resend.
    """
    if given:
        return given
    change_id = uuid.uuid4().hex
    click.echo(f"change id {change_id}", err=True)
    return change_id


def print_json(value: typing.Any) -> None:
    """Print one JSON value."""
    click.echo(msgspec.json.format(codec.encode_json(value), indent=2).decode())


def wait_until(
    condition: typing.Callable[[], bool], timeout: float, pause: float = 0.1
) -> bool:
    """Try a condition until it holds; return whether it did within ``timeout``."""
    end = time.monotonic() + timeout
    while not condition():
        if time.monotonic() >= end:
            return False
        time.sleep(pause)
    return True
