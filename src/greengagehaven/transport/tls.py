"""TLS contexts for servers and clients, loaded from PEM files."""

import pathlib
import ssl

from greengagehaven import exceptions


def server_context(
    *,
    certificate: pathlib.Path | None,
    key: pathlib.Path | None,
    client_ca: pathlib.Path | None = None,
) -> ssl.SSLContext | None:
    """Return the TLS context of a server, or ``None`` if no files are given.

    :param certificate: PEM certificate chain of the server.
    :param key: PEM private key of ``certificate``.
    :param client_ca: PEM certificates of the CA for client certificates; if
        given, clients without a valid certificate are rejected (mutual TLS).
    :raises SettingError: a file is missing or invalid.
    """
    if certificate is None and key is None and client_ca is None:
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
        raise _invalid_file_error("--tls-certificate", certificate, error) from error
    if client_ca is not None:
        _load_ca_certificates(context, "--tls-client-ca", client_ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(
    *,
    ca: pathlib.Path | None,
    certificate: pathlib.Path | None = None,
    key: pathlib.Path | None = None,
) -> ssl.SSLContext | None:
    """Return the TLS context of a client, or ``None`` if ``ca`` is not given.

    Servers are addressed by IP address, so their certificates must contain it.

    :param ca: PEM certificates of the CA for server certificates.
    :param certificate: PEM client certificate chain.
    :param key: PEM private key of ``certificate``.
    :raises SettingError: a file is missing or invalid.
    """
    if ca is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_ca_certificates(context, "authority", ca)
    if certificate is not None:
        try:
            context.load_cert_chain(certificate, key)
        except (OSError, ssl.SSLError) as error:
            raise _invalid_file_error("certificate", certificate, error) from error
    return context


def validate_peer_files(
    *, ca: pathlib.Path, certificate: pathlib.Path, key: pathlib.Path
) -> None:
    """Validate the TLS files for calls between hosts with ``ssl``.

    gRPC accepts invalid PEM data without an error: the host would start, and each
    of its calls would fail as if the other host were down.

    :raises SettingError: a file is missing or invalid, or ``key`` does not match
        ``certificate``.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    _load_ca_certificates(context, "--peer-ca", ca)
    try:
        # gRPC cannot supply a passphrase. Without an empty one here, OpenSSL would
        # prompt for it on the terminal.
        context.load_cert_chain(certificate, key, password=b"")
    except (OSError, ssl.SSLError) as error:
        raise exceptions.SettingError(
            place="--peer-certificate, --peer-key",
            value=f"{certificate}, {key}",
            expected=f"a PEM certificate chain and its private key ({error})",
        ) from error


def _load_ca_certificates(
    context: ssl.SSLContext, place: str, path: pathlib.Path
) -> None:
    try:
        context.load_verify_locations(path)
    except (OSError, ssl.SSLError) as error:
        raise _invalid_file_error(place, path, error) from error


def _invalid_file_error(
    place: str, path: pathlib.Path, error: Exception
) -> exceptions.SettingError:
    return exceptions.SettingError(
        place=place, value=str(path), expected=f"a PEM file ({error})"
    )
