"""Options that name certificates, shared by the daemons' commands."""

import pathlib
import ssl
import typing

import click

from greengagehaven import exceptions
from greengagehaven.transport import peers, tls

FILE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


def listener_options(command: typing.Callable) -> typing.Callable:
    """Add the options for TLS on a daemon's HTTP listeners."""
    command = click.option(
        "--tls-client-ca", type=FILE, help="Ask callers for a certificate."
    )(command)
    command = click.option("--tls-key", type=FILE, help="PEM key of the listeners.")(
        command
    )
    return click.option(
        "--tls-certificate", type=FILE, help="PEM chain of the listeners."
    )(command)


def peer_options(command: typing.Callable) -> typing.Callable:
    """Add the options for TLS between the hosts of the system."""
    command = click.option(
        "--peer-key", type=FILE, help="PEM key towards other hosts."
    )(command)
    command = click.option(
        "--peer-certificate",
        type=FILE,
        help="PEM chain towards other hosts; it has to name greengagehaven.",
    )(command)
    return click.option(
        "--peer-ca", type=FILE, help="Use TLS between hosts; PEM of their CA."
    )(command)


def read_listener(
    certificate: pathlib.Path | None,
    key: pathlib.Path | None,
    client_authority: pathlib.Path | None,
) -> ssl.SSLContext | None:
    """Return the context of a listener, ``None`` where no files are given.

    :raises SettingError: a file is missing or wrong.
    """
    return tls.server_context(
        certificate=certificate, key=key, client_authority=client_authority
    )


def read_peer(
    authority: pathlib.Path | None,
    certificate: pathlib.Path | None,
    key: pathlib.Path | None,
) -> peers.Tls | None:
    """Return the certificates between hosts, ``None`` where none are given.

    :raises SettingError: only some of the three files are given, or one is wrong.
    """
    if authority is None and certificate is None and key is None:
        return None
    if authority is None or certificate is None or key is None:
        raise exceptions.SettingError(
            place="--peer-ca, --peer-certificate, --peer-key",
            value="some of them",
            expected="all three files",
        )
    tls.check_peer_files(authority=authority, certificate=certificate, key=key)
    return peers.Tls(
        authority=authority.read_bytes(),
        certificate=certificate.read_bytes(),
        private_key=key.read_bytes(),
    )
