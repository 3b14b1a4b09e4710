"""Steps about TLS on listeners; certificates made on the spot."""

import asyncio
import datetime
import ipaddress
import pathlib
import tempfile

import behave
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from greengagehaven import exceptions
from greengagehaven.transport import http, http_client, http_server, tls

SHORT = datetime.timedelta(seconds=5)


def _make_pair(folder, name, issuer=None):
    """Write NAME.crt and NAME.key; without an issuer it signs itself."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
    signer_name, signer_key = issuer or (subject, key)
    now = datetime.datetime.now(tz=datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(signer_name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .add_extension(
            x509.BasicConstraints(ca=issuer is None, path_length=None), critical=True
        )
        .sign(signer_key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / f"{name}.crt").write_bytes(certificate.public_bytes(pem))
    private = key.private_bytes(
        pem,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    (folder / f"{name}.key").write_bytes(private)
    return subject, key


@behave.given("an HTTP listener with TLS that asks for certificates")
def given_tls_listener(context):
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    folder = context.folder = pathlib.Path(temporary.name)
    authority = _make_pair(folder, "authority")
    _make_pair(folder, "host", authority)
    _make_pair(folder, "caller", authority)

    async def answer(request):
        return http.Response(status=200)

    context.server = http_server.HttpServer(
        handler=answer,
        tls=tls.server_context(
            certificate=folder / "host.crt",
            key=folder / "host.key",
            client_authority=folder / "authority.crt",
        ),
    )
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.address = context.runner.run(context.server.start())
    context.add_cleanup(lambda: context.runner.run(context.server.close()))


@behave.when("a caller with a certificate, one without and one without TLS connect")
def when_callers_connect(context):
    folder = context.folder
    authority = folder / "authority.crt"
    known = tls.client_context(
        authority=authority,
        certificate=folder / "caller.crt",
        key=folder / "caller.key",
    )
    contexts = [known, tls.client_context(authority=authority), None]

    async def ask(tls_context):
        client = http_client.HttpClient(address=context.address, tls=tls_context)
        try:
            return (await client.request("GET", "/", timeout=SHORT)).status
        except exceptions.UpstreamError:
            return None
        finally:
            client.close()

    context.statuses = [context.runner.run(ask(each)) for each in contexts]


@behave.then("only the caller with a certificate gets an answer")
def then_only_known(context):
    assert context.statuses == [200, None, None], context.statuses
