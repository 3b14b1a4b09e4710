"""Steps for operators' commands against control hosts in this process."""

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
from greengagehaven.daemons import control_daemon, control_host, follower
from greengagehaven.state import document
from greengagehaven.transport import grpc_peers, tls

COMMAND = (sys.executable, "-c", "from greengagehaven import cli; cli.main()")
UNREACHABLE_ADDRESS = "127.0.0.1:1"
MAX_POLLS = 1000
POLL_INTERVAL_S = 0.01


class SocketEnvironment:
    """An environment of one control host and one entry host on real sockets."""

    def __init__(self, folder, name, certificate=None, **settings):
        self.name = name
        self.certificate, self._key = certificate or (None, None)
        self._settings = control_host.ControlSettings(
            host_id=f"{name}-c1",
            data_folder=str(folder / name),
            peer_address="127.0.0.1:0",
            bootstrap=True,
            environment=name,
            **settings,
        )

    async def start(self):
        system_clock = clock.SystemClock()
        rng = random.Random(1)
        self.daemon = control_daemon.ControlDaemon(
            settings=self._settings,
            tokens_by_operator={"ann": "secret"},
            tls=tls.server_context(certificate=self.certificate, key=self._key),
            clock=system_clock,
            rng=rng,
        )
        await self.daemon.start()
        self._channel = grpc_peers.GrpcPeerClient(token=None, clock=system_clock)
        self._follower = follower.ConfigurationFollower(
            channel=self._channel,
            host_id=f"{self.name}-e1",
            availability_zone="a",
            control_addresses=[self.daemon.peer_address],
            on_state=lambda state: None,
            clock=system_clock,
            rng=rng,
        )
        self._follower.start()
        for _ in range(MAX_POLLS):
            if self.daemon.host.publisher.fresh_reports():
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise AssertionError("the entry host did not report")

    async def close(self):
        await self._follower.close()
        await self._channel.close()
        await self.daemon.close()


def run(context, *arguments):
    """Run a command on the loop of the hosts; return (exit code, stdout, stderr)."""

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


def control_options(environment, token="secret"):
    options = ("--control", environment.daemon.operator_address, "--token", token)
    if environment.certificate is None:
        return options
    return (*options, "--control-ca", str(environment.certificate))


@behave.given(
    "a trial and a production environment, the latter over TLS, with an entry host each"
)
def given_environments(context):
    log.configure(level="critical")
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = path = pathlib.Path(folder.name)
    private, public = keys.key_pair(1)
    context.loop = loop = asyncio.new_event_loop()
    context.add_cleanup(loop.close)
    context.trial = SocketEnvironment(path, "trial", signing_key=private)
    context.production = SocketEnvironment(
        path,
        "production",
        certificate=keys.write_certificate(path),
        trusted_keys=(public,),
    )
    for environment in (context.trial, context.production):
        loop.run_until_complete(environment.start())
        context.add_cleanup(
            lambda environment=environment: loop.run_until_complete(environment.close())
        )
    context.document = path / "document.toml"
    context.document.write_bytes(environments.document_with(5))
    context.digest = document.digest_of(environments.document_with(5))


@behave.then("check of a valid document exits 0 and prints its digest")
def then_valid(context):
    code, output, _ = run(context, "check", str(context.document))
    assert (code, context.digest in output) == (0, True), output


@behave.then("check of an invalid document exits 1 and names the invalid setting")
def then_invalid(context):
    path = context.folder / "wrong.toml"
    data = environments.document_with(5)
    path.write_bytes(data.replace(b"standing = 5", b'standing = "high"'))
    code, output, _ = run(context, "check", str(path))
    assert (code, "kinds.sweep.standing" in output) == (1, True), output


@behave.when("the document is applied to trial with --wait")
def when_applied_to_trial(context):
    path = str(context.document)
    code, _, errors = run(
        context, "apply", path, "--wait", *control_options(context.trial)
    )
    assert code == 0, errors
    assert "revision 1 is in force on every entry host" in errors, errors


@behave.when("it is proved in trial and promoted to production")
def when_proved_promoted(context):
    code, _, errors = run(context, "prove", *control_options(context.trial))
    assert code == 0, errors
    trial = context.trial.daemon.operator_address
    source = ("--from", trial, "--from-token", "secret")
    code, _, errors = run(
        context, "promote", "--wait", *source, *control_options(context.production)
    )
    assert code == 0, errors


@behave.then("diff against production exits 0, and 1 for another document")
def then_diff(context):
    command = ("diff", str(context.document), *control_options(context.production))
    code, output, _ = run(context, *command)
    assert code == 0, output
    context.document.write_bytes(environments.document_with(6))
    code, output, _ = run(context, *command)
    assert (code, "+standing = 6" in output) == (1, True), output


@behave.then("history and audit of production name the operator and the digest")
def then_history_and_audit(context):
    for command in ("history", "audit"):
        code, output, _ = run(
            context, command, "--json", *control_options(context.production)
        )
        line = json.loads(output)[0]
        found = (code, line["author"], line["to_digest"], line["revision"])
        assert found == (0, "ann", context.digest, 1), line


@behave.when("zone a of production is drained")
def when_last_zone_drained(context):
    context.completed = run(
        context, "zone", "drain", "a", *control_options(context.production)
    )


@behave.then("it is refused on the command line as {code} with exit 1")
def then_command_refused(context, code):
    exit_code, _, errors = context.completed
    assert (exit_code, f"Error: {code}: " in errors) == (1, True), errors


@behave.then("a wrong token is refused as unauthorized with exit 1")
def then_unauthorized(context):
    context.completed = run(
        context, "status", *control_options(context.production, "wrong")
    )
    then_command_refused(context, "unauthorized")


@behave.then("an unreachable control host is reported in one line with exit 1")
def then_unreachable(context):
    context.completed = run(context, "status", "--control", UNREACHABLE_ADDRESS)
    then_command_refused(context, "control_unreachable")
    assert len(context.completed[2].splitlines()) == 1, context.completed
