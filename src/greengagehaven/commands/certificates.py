"""TLS certificate options shared by the commands that run daemons."""

import pathlib
import ssl
import typing

import click

from greengagehaven import exceptions
from greengagehaven.transport import grpc_peers, tls

_EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


def listener_options(command: typing.Callable) -> typing.Callable:
    """Add the options for TLS on a daemon's HTTP listeners."""
    command = click.option(
        "--tls-client-ca",
        type=_EXISTING_FILE,
        help="PEM CA that signs client certificates; clients must present one.",
    )(command)
    command = click.option(
        "--tls-key", type=_EXISTING_FILE, help="PEM private key of the HTTP listeners."
    )(command)
    return click.option(
        "--tls-certificate",
        type=_EXISTING_FILE,
        help="PEM certificate chain of the HTTP listeners.",
    )(command)


def peer_options(command: typing.Callable) -> typing.Callable:
    """Add the options for mutual TLS between hosts."""
    command = click.option(
        "--peer-key",
        type=_EXISTING_FILE,
        help="PEM private key for connections between hosts.",
    )(command)
    command = click.option(
        "--peer-certificate",
        type=_EXISTING_FILE,
        help="PEM certificate chain for connections between hosts; it must be "
        "issued for the name greengagehaven.",
    )(command)
    return click.option(
        "--peer-ca",
        type=_EXISTING_FILE,
        help="PEM CA of the hosts; enables TLS between them.",
    )(command)


def load_listener_context(
    certificate: pathlib.Path | None,
    key: pathlib.Path | None,
    client_authority: pathlib.Path | None,
) -> ssl.SSLContext | None:
    """Return the TLS context of a listener, or ``None`` if no files are given.

    :raises SettingError: a file is missing or invalid.
    """
    return tls.server_context(
        certificate=certificate, key=key, client_ca=client_authority
    )


def load_peer_tls(
    authority: pathlib.Path | None,
    certificate: pathlib.Path | None,
    key: pathlib.Path | None,
) -> grpc_peers.PeerTlsSettings | None:
    """Return the TLS files for connections between hosts, or ``None`` if not given.

    :raises SettingError: only some of the three files are given, or one is invalid.
    """
    if authority is None and certificate is None and key is None:
        return None
    if authority is None or certificate is None or key is None:
        raise exceptions.SettingError(
            place="--peer-ca, --peer-certificate, --peer-key",
            value="only some of them",
            expected="all three files",
        )
    tls.validate_peer_files(ca=authority, certificate=certificate, key=key)
    return grpc_peers.PeerTlsSettings(
        ca=authority.read_bytes(),
        certificate=certificate.read_bytes(),
        private_key=key.read_bytes(),
    )
