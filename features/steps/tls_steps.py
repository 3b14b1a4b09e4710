"""Steps about TLS on listeners; certificates made on the spot."""

import asyncio
import datetime
import pathlib
import tempfile

import behave

from fakes import certificates
from greengagehaven import exceptions
from greengagehaven.transport import http, http_client, http_server, tls

SHORT = datetime.timedelta(seconds=5)


@behave.given("an HTTP listener with TLS that asks for certificates")
def given_tls_listener(context):
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    folder = context.folder = pathlib.Path(temporary.name)
    authority = certificates.make_pair(folder, "authority")
    certificates.make_pair(folder, "host", authority)
    certificates.make_pair(folder, "caller", authority)

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
