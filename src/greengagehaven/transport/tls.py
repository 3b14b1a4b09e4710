"""TLS contexts from files, for listeners and connections."""

import pathlib
import ssl

from greengagehaven import exceptions


def server_context(
    *,
    certificate: pathlib.Path | None,
    key: pathlib.Path | None,
    client_authority: pathlib.Path | None = None,
) -> ssl.SSLContext | None:
    """Return the context of a listener, ``None`` where no files are given.

    :param client_authority: PEM of the authority that signs callers; with it a
        caller without a certificate gets no connection.
    :raises SettingError: a file is missing or wrong.
    """
    if certificate is None and key is None and client_authority is None:
        return None
    if certificate is None or key is None:
        raise exceptions.SettingError(
            place="--tls-certificate, --tls-key",
            value=(certificate, key),
            expected="both files",
        )
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(certificate, key)
    except (OSError, ssl.SSLError) as error:
        raise _wrong_file("--tls-certificate", certificate, error) from error
    if client_authority is not None:
        _load_authority(context, "--tls-client-ca", client_authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(
    *,
    authority: pathlib.Path | None,
    certificate: pathlib.Path | None = None,
    key: pathlib.Path | None = None,
) -> ssl.SSLContext | None:
    """Return the context of connections, ``None`` where no files are given.

    Hosts are reached by IP number, so the certificate has to name the number.

    :param certificate: PEM chain to show; ``key`` belongs to it.
    :raises SettingError: a file is missing or wrong.
    """
    if authority is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_authority(context, "authority", authority)
    if certificate is not None:
        try:
            context.load_cert_chain(certificate, key)
        except (OSError, ssl.SSLError) as error:
            raise _wrong_file("certificate", certificate, error) from error
    return context


def check_peer_files(
    *, authority: pathlib.Path, certificate: pathlib.Path, key: pathlib.Path
) -> None:
    """Read the files for TLS between hosts the way ``ssl`` reads them.

    gRPC takes wrong bytes without an error: the host would start, and each of
    its calls would fail as if the other host were dead.

    :raises SettingError: a file is wrong, or ``key`` is another certificate's.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    _load_authority(context, "--peer-ca", authority)
    try:
        # gRPC has no pass phrase to offer; without one here, OpenSSL would wait
        # at the terminal for it.
        context.load_cert_chain(certificate, key, password=b"")
    except (OSError, ssl.SSLError) as error:
        raise exceptions.SettingError(
            place="--peer-certificate, --peer-key",
            value=f"{certificate}, {key}",
            expected=f"a PEM chain and its key ({error})",
        ) from error


def _load_authority(context: ssl.SSLContext, place: str, path: pathlib.Path) -> None:
    try:
        context.load_verify_locations(path)
    except (OSError, ssl.SSLError) as error:
        raise _wrong_file(place, path, error) from error


def _wrong_file(
    place: str, path: pathlib.Path, error: Exception
) -> exceptions.SettingError:
    return exceptions.SettingError(
        place=place, value=str(path), expected=f"a PEM file ({error})"
    )
