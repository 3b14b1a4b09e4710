"""Steps about TLS between hosts; certificates made on the spot."""

import asyncio
import datetime
import pathlib
import tempfile

import behave
from click import testing

from fakes import certificates
from greengagehaven import cli, clock, exceptions
from greengagehaven.commands import certificates as options
from greengagehaven.transport import peers

METHOD = "test/echo"
BODY = b"ping"
TOKEN = "right"
PATIENCE_S = 1.0
# No machine has it, so that a start which is not refused fails and never runs on.
NOWHERE = "192.0.2.1:1"


def _make_files(context):
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    folder = context.folder = pathlib.Path(temporary.name)
    for name in ("ours", "theirs"):
        authority = certificates.make_pair(folder, name)
        certificates.make_pair(folder, f"{name}-host", authority)


def _read(folder, authority, host):
    return options.load_peer_tls(
        folder / f"{authority}.crt", folder / f"{host}.crt", folder / f"{host}.key"
    )


@behave.given("a peer server with TLS that echoes bodies")
def given_tls_peer(context):
    _make_files(context)

    async def echo(body):
        return body

    context.server = peers.PeerServer(
        handlers_by_method={METHOD: echo},
        token=TOKEN,
        clock=clock.SystemClock(),
        tls=_read(context.folder, "ours", "ours-host"),
    )
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.address = context.runner.run(context.server.start("127.0.0.1", 0))
    stop = context.server.stop
    context.add_cleanup(lambda: context.runner.run(stop(datetime.timedelta())))


@behave.when(
    "peers call with our certificate, with another authority's and without TLS"
)
def when_peers_call(context):
    async def ask(tls):
        client = peers.PeerClient(token=TOKEN, clock=clock.SystemClock(), tls=tls)
        try:
            return await client.call(context.address, METHOD, BODY, timeout=PATIENCE_S)
        except exceptions.PeerError as error:
            return error.code
        finally:
            await client.close()

    ours = _read(context.folder, "ours", "ours-host")
    # It trusts our authority, so that only the server can refuse it.
    theirs = _read(context.folder, "ours", "theirs-host")
    context.results = [context.runner.run(ask(tls)) for tls in (ours, theirs, None)]


@behave.then("only the peer with our certificate gets the body")
def then_only_ours(context):
    expected = [BODY, "peer_failed", "peer_failed"]
    assert context.results == expected, context.results


@behave.given("files of certificates for hosts, with a key of another host")
def given_files(context):
    _make_files(context)


@behave.when("an entry and a control host start with files that are wrong")
def when_started_wrong(context):
    entry = ["entry", "--host-id", "e", "--zone", "a", "--peer-listen", NOWHERE]
    data = str(context.folder / "data")
    control = ["control", "--host-id", "c", "--data-folder", data]
    control += ["--peer-address", NOWHERE]
    wrong = (
        ("ours.crt", "ours-host.crt", "theirs-host.key", "--peer-key"),
        ("ours.key", "ours-host.crt", "ours-host.key", "--peer-ca"),
        ("ours.crt", "ours-host.crt", None, "--peer-key"),
    )
    names = ("--peer-ca", "--peer-certificate", "--peer-key")
    context.results = []
    for command in (entry, control):
        for *files, place in wrong:
            given = [
                text
                for name, file in zip(names, files, strict=True)
                if file
                for text in (name, str(context.folder / file))
            ]
            done = testing.CliRunner().invoke(
                cli.greengagehaven, [*command, "--peer-token", TOKEN, *given]
            )
            context.results.append((done, place))


@behave.then("each exits 2 with one line of error that names the setting")
def then_one_line(context):
    for done, place in context.results:
        errors = done.output[done.output.index("Error:") :].splitlines()
        assert done.exit_code == 2, (done.exit_code, done.output)
        assert len(errors) == 1 and place in errors[0], done.output
