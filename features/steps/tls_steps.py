"""Steps for TLS on listeners, with generated test certificates."""

import asyncio
import datetime
import pathlib
import tempfile

import behave

from fakes import certificates
from greengagehaven import exceptions
from greengagehaven.transport import http, http_client, http_server, tls

REQUEST_TIMEOUT = datetime.timedelta(seconds=5)
DRAIN_TIMEOUT = datetime.timedelta(seconds=2)


@behave.given("an HTTP listener with TLS that requires client certificates")
def given_tls_listener(context):
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    folder = context.folder = pathlib.Path(temporary.name)
    authority = certificates.write_certificate(folder, "authority")
    certificates.write_certificate(folder, "host", authority)
    certificates.write_certificate(folder, "caller", authority)

    async def handle(request):
        return http.Response(status=200)

    context.server = http_server.HttpServer(
        handler=handle,
        tls=tls.server_context(
            certificate=folder / "host.crt",
            key=folder / "host.key",
            client_ca=folder / "authority.crt",
        ),
    )
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.address = context.runner.run(context.server.start())
    context.add_cleanup(lambda: context.runner.run(context.server.close()))


@behave.when("clients with a certificate, without one and without TLS connect")
def when_clients_connect(context):
    folder = context.folder
    authority = folder / "authority.crt"
    certified = tls.client_context(
        ca=authority,
        certificate=folder / "caller.crt",
        key=folder / "caller.key",
    )
    contexts = [certified, tls.client_context(ca=authority), None]

    async def request(tls_context):
        client = http_client.HttpClient(address=context.address, tls=tls_context)
        try:
            return (await client.request("GET", "/", timeout=REQUEST_TIMEOUT)).status
        except exceptions.UpstreamError:
            return None
        finally:
            client.close()

    context.statuses = [context.runner.run(request(each)) for each in contexts]


@behave.then("only the client with a certificate gets a response")
def then_only_certified(context):
    assert context.statuses == [200, None, None], context.statuses


@behave.when("a client with a certificate has got responses to {count:d} requests")
def when_requests(context, count):
    folder = context.folder
    client = context.client = http_client.HttpClient(
        address=context.address,
        tls=tls.client_context(
            ca=folder / "authority.crt",
            certificate=folder / "caller.crt",
            key=folder / "caller.key",
        ),
    )

    async def request():
        return (await client.request("GET", "/", timeout=REQUEST_TIMEOUT)).status

    assert [context.runner.run(request()) for _ in range(count)] == [200] * count


@behave.then("its connection is idle, and a drain of the listener leaves no request")
def then_idle(context):
    assert context.server.connection_states == ["idle"]
    left = context.runner.run(context.server.drain(DRAIN_TIMEOUT))
    context.client.close()
    assert left == 0
