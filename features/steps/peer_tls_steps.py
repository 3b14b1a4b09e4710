"""Steps for TLS between hosts, with generated test certificates."""

import asyncio
import datetime
import pathlib
import tempfile

import behave
from click import testing

from fakes import certificates
from greengagehaven import cli, clock, exceptions
from greengagehaven.commands import certificates as options
from greengagehaven.transport import grpc_peers

METHOD = "test/echo"
BODY = b"ping"
TOKEN = "right"
CALL_TIMEOUT_S = 1.0
# No machine has this address, so that a start which is wrongly not refused fails
# to bind instead of running on.
UNUSABLE_ADDRESS = "192.0.2.1:1"


def _write_tls_files(context):
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    folder = context.folder = pathlib.Path(temporary.name)
    for name in ("ours", "theirs"):
        authority = certificates.write_certificate(folder, name)
        certificates.write_certificate(folder, f"{name}-host", authority)


def _load_tls(folder, authority, host):
    return options.load_peer_tls(
        folder / f"{authority}.crt", folder / f"{host}.crt", folder / f"{host}.key"
    )


@behave.given("a peer server with TLS that echoes bodies")
def given_tls_peer(context):
    _write_tls_files(context)

    async def echo(body):
        return body

    context.server = grpc_peers.GrpcPeerServer(
        handlers_by_method={METHOD: echo},
        token=TOKEN,
        clock=clock.SystemClock(),
        tls=_load_tls(context.folder, "ours", "ours-host"),
    )
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.address = context.runner.run(context.server.start("127.0.0.1", 0))
    stop = context.server.stop
    context.add_cleanup(lambda: context.runner.run(stop(datetime.timedelta())))


@behave.when(
    "peers call with a trusted certificate, with an untrusted one and without TLS"
)
def when_peers_call(context):
    async def call(tls):
        client = grpc_peers.GrpcPeerClient(
            token=TOKEN, clock=clock.SystemClock(), tls=tls
        )
        try:
            return await client.call(
                context.address, METHOD, BODY, timeout=CALL_TIMEOUT_S
            )
        except exceptions.PeerError as error:
            return error.code
        finally:
            await client.close()

    trusted = _load_tls(context.folder, "ours", "ours-host")
    # Its client trusts the server's authority, so that only the server can
    # refuse the connection.
    untrusted = _load_tls(context.folder, "ours", "theirs-host")
    context.results = [
        context.runner.run(call(tls)) for tls in (trusted, untrusted, None)
    ]


@behave.then("only the peer with the trusted certificate gets the body")
def then_only_trusted(context):
    expected = [BODY, "peer_failed", "peer_failed"]
    assert context.results == expected, context.results


@behave.given("TLS files for hosts, with a key of another host")
def given_files(context):
    _write_tls_files(context)


@behave.when("an entry and a control host start with wrong TLS files")
def when_started_with_wrong_files(context):
    entry = [
        "entry",
        "--host-id",
        "e",
        "--zone",
        "a",
        "--peer-listen",
        UNUSABLE_ADDRESS,
    ]
    data = str(context.folder / "data")
    control = ["control", "--host-id", "c", "--data-folder", data]
    control += ["--peer-address", UNUSABLE_ADDRESS]
    wrong_files = (
        ("ours.crt", "ours-host.crt", "theirs-host.key", "--peer-key"),
        ("ours.key", "ours-host.crt", "ours-host.key", "--peer-ca"),
        ("ours.crt", "ours-host.crt", None, "--peer-key"),
    )
    names = ("--peer-ca", "--peer-certificate", "--peer-key")
    context.results = []
    for command in (entry, control):
        for *files, setting in wrong_files:
            options_given = [
                text
                for name, file in zip(names, files, strict=True)
                if file
                for text in (name, str(context.folder / file))
            ]
            result = testing.CliRunner().invoke(
                cli.greengagehaven, [*command, "--peer-token", TOKEN, *options_given]
            )
            context.results.append((result, setting))


@behave.then("each exits 2 with a one-line error that names the setting")
def then_one_line(context):
    for result, setting in context.results:
        errors = result.output[result.output.index("Error:") :].splitlines()
        assert result.exit_code == 2, (result.exit_code, result.output)
        assert len(errors) == 1 and setting in errors[0], result.output
