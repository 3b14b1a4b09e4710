"""Steps about operators' commands against control hosts in this process."""

import asyncio
import json
import pathlib
import random
import sys
import tempfile

import behave

from fakes import environment as environments
from fakes import keys
from greengagehaven import clock, log
from greengagehaven.daemons import control, control_daemon, follower
from greengagehaven.state import document
from greengagehaven.transport import peers, tls

COMMAND = (sys.executable, "-c", "from greengagehaven import cli; cli.main()")
NOBODY = "127.0.0.1:1"
POLLS = 1000
POLL_S = 0.01


class Place:
    """One control host and one entry host on real sockets."""

    def __init__(self, folder, name, certificate=None, **settings):
        self.name = name
        self.certificate, self._key = certificate or (None, None)
        self._settings = control.ControlSettings(
            host_id=f"{name}-c1",
            data_folder=str(folder / name),
            peer_address="127.0.0.1:0",
            bootstrap=True,
            environment=name,
            **settings,
        )

    async def start(self):
        system = clock.SystemClock()
        rng = random.Random(1)
        self.daemon = control_daemon.ControlDaemon(
            settings=self._settings,
            tokens_by_operator={"ann": "secret"},
            tls=tls.server_context(certificate=self.certificate, key=self._key),
            clock=system,
            rng=rng,
        )
        await self.daemon.start()
        self._channel = peers.PeerClient(token=None, clock=system)
        self._follower = follower.ConfigurationFollower(
            channel=self._channel,
            host_id=f"{self.name}-e1",
            availability_zone="a",
            control_addresses=[self.daemon.peer_address],
            on_state=lambda state: None,
            clock=system,
            rng=rng,
        )
        self._follower.start()
        for _ in range(POLLS):
            if self.daemon.host.publisher.reports():
                return
            await asyncio.sleep(POLL_S)
        raise AssertionError("the entry host did not report")

    async def close(self):
        await self._follower.close()
        await self._channel.close()
        await self.daemon.close()


def run(context, *arguments):
    """Run a command beside the hosts; return (exit code, output, errors)."""

    async def execute():
        process = await asyncio.create_subprocess_exec(
            *COMMAND,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        return process.returncode, output.decode(), errors.decode()

    return context.loop.run_until_complete(execute())


def at(place, token="secret"):
    options = ("--control", place.daemon.operator_address, "--token", token)
    if place.certificate is None:
        return options
    return (*options, "--control-ca", str(place.certificate))


@behave.given(
    "a trial and a production environment, this over TLS, with an entry host each"
)
def given_places(context):
    log.configure(level="critical")
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = path = pathlib.Path(folder.name)
    private, public = keys.key_pair(1)
    context.loop = loop = asyncio.new_event_loop()
    context.add_cleanup(loop.close)
    context.trial = Place(path, "trial", signing_key=private)
    context.production = Place(
        path,
        "production",
        certificate=keys.write_certificate(path),
        trusted_keys=(public,),
    )
    for place in (context.trial, context.production):
        loop.run_until_complete(place.start())
        context.add_cleanup(lambda place=place: loop.run_until_complete(place.close()))
    context.document = path / "document.toml"
    context.document.write_bytes(environments.document_with(5))
    context.digest = document.digest_of(environments.document_with(5))


@behave.then("check of a document without mistakes exits 0 and prints its digest")
def then_checked(context):
    code, output, _ = run(context, "check", str(context.document))
    assert (code, context.digest in output) == (0, True), output


@behave.then("check of a document with a mistake exits 1 and names its place")
def then_mistake(context):
    path = context.folder / "wrong.toml"
    data = environments.document_with(5)
    path.write_bytes(data.replace(b"standing = 5", b'standing = "high"'))
    code, output, _ = run(context, "check", str(path))
    assert (code, "kinds.sweep.standing" in output) == (1, True), output


@behave.when("the document is applied to trial and awaited")
def when_tried(context):
    path = str(context.document)
    code, _, errors = run(context, "apply", path, "--wait", *at(context.trial))
    assert code == 0, errors
    assert "revision 1 is in force on every entry host" in errors, errors


@behave.when("it is proved in trial and promoted to production")
def when_proved_promoted(context):
    code, _, errors = run(context, "prove", *at(context.trial))
    assert code == 0, errors
    trial = context.trial.daemon.operator_address
    source = ("--from", trial, "--from-token", "secret")
    code, _, errors = run(
        context, "promote", "--wait", *source, *at(context.production)
    )
    assert code == 0, errors


@behave.then("diff against production exits 0, and 1 for another document")
def then_diff(context):
    command = ("diff", str(context.document), *at(context.production))
    code, output, _ = run(context, *command)
    assert code == 0, output
    context.document.write_bytes(environments.document_with(6))
    code, output, _ = run(context, *command)
    assert (code, "+standing = 6" in output) == (1, True), output


@behave.then("history and audit of production name the operator and the digest")
def then_named(context):
    for command in ("history", "audit"):
        code, output, _ = run(context, command, "--json", *at(context.production))
        line = json.loads(output)[0]
        seen = (code, line["author"], line["to_digest"], line["revision"])
        assert seen == (0, "ann", context.digest, 1), line


@behave.when("zone a of production is drained")
def when_last_zone_drained(context):
    context.ended = run(context, "zone", "drain", "a", *at(context.production))


@behave.then("it is refused on the command line as {code} with exit 1")
def then_command_refused(context, code):
    exit_code, _, errors = context.ended
    assert (exit_code, f"Error: {code}: " in errors) == (1, True), errors


@behave.then("a wrong token is refused as unauthorized with exit 1")
def then_unauthorized(context):
    context.ended = run(context, "status", *at(context.production, "wrong"))
    then_command_refused(context, "unauthorized")


@behave.then("a missing control host is one line with exit 1")
def then_unreachable(context):
    context.ended = run(context, "status", "--control", NOBODY)
    then_command_refused(context, "control_unreachable")
    assert len(context.ended[2].splitlines()) == 1, context.ended
