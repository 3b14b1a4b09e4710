"""Commands ``control`` (daemon), ``status``, ``history``, ``audit``, ``recover``."""

import asyncio
import pathlib
import random
import signal
import ssl

import click
import prometheus_client

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log, settings
from greengagehaven.commands import certificates, client, daemons
from greengagehaven.daemons import control_daemon, control_host, recovery
from greengagehaven.protocol import operator
from greengagehaven.transport import grpc_peers, log_output

_KEY_FILE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


@click.command()
@click.option("--host-id", required=True, help="Unique id of this host.")
@click.option("--data-folder", required=True, help="Folder of its persistent state.")
@click.option(
    "--peer-address",
    default="127.0.0.1:7301",
    show_default=True,
    metavar="IP:PORT",
    help="Listen address that other hosts connect to.",
)
@click.option(
    "--operator-address",
    default="127.0.0.1:7300",
    show_default=True,
    metavar="IP:PORT",
    help="Listen address that operators connect to.",
)
@click.option(
    "--peer",
    "peer_addresses",
    multiple=True,
    metavar="IP:PORT",
    help="Peer address of another control host; may be given several times.",
)
@click.option(
    "--bootstrap",
    is_flag=True,
    help="Start a new replicated log if every other control host answers that it "
    "has none; safe to leave set.",
)
@click.option(
    "--recorder",
    "recorders",
    multiple=True,
    metavar="HOST-ID=IP:PORT",
    help="A control host that stores idempotency keys, with its peer address; "
    "give the same set to all control and entry hosts.",
)
@click.option(
    "--learner",
    is_flag=True,
    help="Join as a learner: replicate the log without voting.",
)
@click.option(
    "--peer-token",
    help="Secret shared by all hosts; required on addresses other than loopback.",
)
@click.option(
    "--operator",
    "operators",
    multiple=True,
    metavar="NAME=TOKEN",
    help="An operator and the bearer token; may be given several times. Required "
    "if the operator address is not loopback.",
)
@click.option(
    "--environment", default="default", help="Name of the environment in proofs."
)
@click.option(
    "--signing-key", type=_KEY_FILE, help="PEM private key that signs proofs (trial)."
)
@click.option(
    "--trusted-key",
    "trusted_keys",
    type=_KEY_FILE,
    multiple=True,
    help="PEM public key; documents need a proof signed by one (production); may "
    "be given several times.",
)
@daemons.log_level_option
@certificates.listener_options
@certificates.peer_options
def control(
    host_id: str,
    data_folder: str,
    peer_address: str,
    operator_address: str,
    peer_addresses: tuple[str, ...],
    bootstrap: bool,
    recorders: tuple[str, ...],
    learner: bool,
    peer_token: str | None,
    operators: tuple[str, ...],
    environment: str,
    signing_key: pathlib.Path | None,
    trusted_keys: tuple[pathlib.Path, ...],
    tls_certificate: pathlib.Path | None,
    tls_key: pathlib.Path | None,
    tls_client_ca: pathlib.Path | None,
    peer_ca: pathlib.Path | None,
    peer_certificate: pathlib.Path | None,
    peer_key: pathlib.Path | None,
    log_level: str,
) -> None:
    """Run a control host."""
    log_output.configure_standard_error(level=log_level)
    host, _ = settings.parse_address("operator address", operator_address)
    tokens_by_operator = _parse_operators(operators)
    if not tokens_by_operator and not settings.is_loopback(host):
        raise exceptions.SettingError(
            place="operator",
            value="none",
            expected=f"NAME=TOKEN, as {operator_address} is not a loopback address",
        )
    settings.check_peer_token(peer_token, (peer_address, *peer_addresses))
    control_settings = control_host.ControlSettings(
        host_id=host_id,
        data_folder=data_folder,
        peer_address=peer_address,
        peer_addresses=peer_addresses,
        bootstrap=bootstrap,
        voter=not learner,
        recorder_addresses_by_id=settings.parse_named_addresses("recorder", recorders),
        environment=environment,
        signing_key=signing_key.read_bytes() if signing_key else None,
        trusted_keys=tuple(path.read_bytes() for path in trusted_keys),
    )
    operator_tls = certificates.load_listener_context(
        tls_certificate, tls_key, tls_client_ca
    )
    peer_tls = certificates.load_peer_tls(peer_ca, peer_certificate, peer_key)
    failure = asyncio.run(
        _run_until_stopped(
            control_settings,
            operator_address,
            peer_token,
            tokens_by_operator,
            operator_tls,
            peer_tls,
        )
    )
    if failure is not None:
        raise failure


async def _run_until_stopped(
    control_settings: control_host.ControlSettings,
    operator_address: str,
    peer_token: str | None,
    tokens_by_operator: dict[str, str],
    operator_tls: ssl.SSLContext | None,
    peer_tls: grpc_peers.PeerTlsSettings | None,
) -> exceptions.StorageError | None:
    """Run until a signal or a storage failure; return the failure, if any."""
    stopped: asyncio.Future[exceptions.StorageError | None]
    loop = asyncio.get_running_loop()
    stopped = loop.create_future()

    def stop(failure: exceptions.StorageError | None = None) -> None:
        if not stopped.done():
            stopped.set_result(failure)

    daemon = control_daemon.ControlDaemon(
        settings=control_settings,
        operator_address=operator_address,
        peer_token=peer_token,
        tokens_by_operator=tokens_by_operator,
        peer_tls=peer_tls,
        clock=clocks.SystemClock(),
        rng=random.Random(),
        registry=prometheus_client.REGISTRY,
        tls=operator_tls,
        on_failure=stop,
    )
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    try:
        await daemon.start()
        log.info("ready", operator=daemon.operator_address, peer=daemon.peer_address)
        return await stopped
    finally:
        await daemon.close()


@click.command()
@client.json_option
@client.options
def status(as_json: bool, controls: tuple[str, ...], token: str) -> None:
    """Show the control hosts, the revision in force and which hosts lag behind.

    Exits with 1 if the quorum is lost or an entry host lags behind.
    """
    current = client.from_options(controls, token).get("/v1/status", operator.Status)
    if as_json:
        client.print_json(current)
    else:
        click.echo("\n".join(_format_status(current)))
    is_healthy = current.quorum == "ok" and all(
        host.state == "current" for host in current.hosts
    )
    raise click.exceptions.Exit(0 if is_healthy else 1)


@click.command()
@click.option(
    "--limit", default=20, show_default=True, help="Maximum number of records."
)
@client.json_option
@client.options
def history(limit: int, as_json: bool, controls: tuple[str, ...], token: str) -> None:
    """Show the revisions, newest first."""
    _print_records("/v1/history", limit, as_json, controls, token)


@click.command()
@click.option(
    "--limit", default=20, show_default=True, help="Maximum number of records."
)
@client.json_option
@client.options
def audit(limit: int, as_json: bool, controls: tuple[str, ...], token: str) -> None:
    """Show every requested change, including refused ones."""
    _print_records("/v1/audit", limit, as_json, controls, token)


@click.command()
@click.option(
    "--data-folder", required=True, help="Data folder of the surviving control host."
)
@click.option("--author", required=True, help="Operator recorded in the audit trail.")
@click.option(
    "--yes",
    is_flag=True,
    help="Confirm that the lost control hosts will never return with their old disks.",
)
def recover(data_folder: str, author: str, yes: bool) -> None:
    """Restore service from one control host after a permanent loss of quorum.

    The host must be stopped. It becomes the only voter of a new log.
    """
    if not yes:
        raise click.UsageError(
            "read docs/operations/quorum-lost.md first, then add --yes"
        )
    revision = recovery.recover(
        data_folder=data_folder, author=author, now=clocks.SystemClock().now()
    )
    click.echo(f"recovered at revision {revision}; start the control host again")


def _parse_operators(pairs: tuple[str, ...]) -> dict[str, str]:
    tokens_by_operator = {}
    for pair in pairs:
        name, _, token = pair.partition("=")
        if not name or not token:
            raise exceptions.SettingError(
                place="operator", value=name, expected="NAME=TOKEN"
            )
        tokens_by_operator[name] = token
    return tokens_by_operator


def _print_records(
    path: str, limit: int, as_json: bool, controls: tuple[str, ...], token: str
) -> None:
    records = client.from_options(controls, token).get(
        path, list[operator.AuditLogEntry], limit=limit
    )
    if as_json:
        client.print_json(records)
        return
    for record in records:
        click.echo(_format_record(record))


def _format_record(record: operator.AuditLogEntry) -> str:
    when = record.made_at.isoformat(timespec="seconds")
    text = (
        f"{record.number} {when} {record.author}: {record.action}, {record.code}, "
        f"revision {record.revision}, digest {record.to_digest[:12] or 'none'}, "
        f"change {record.change_id}"
    )
    return f"{text}: {record.detail}" if record.detail else text


def _format_status(current: operator.Status) -> list[str]:
    drained = ", ".join(current.drained_zones) or "none"
    lines = [
        f"quorum {current.quorum}: {current.detail}",
        f"revision {current.revision}, digest {current.digest or 'none'}",
        f"drained zones: {drained}",
    ]
    for member in current.members:
        role = "leader" if member.leader else "voter" if member.voter else "learner"
        state = "no response"
        if member.answers:
            state = f"revision {member.revision}, {member.missing_entries} behind"
        lines.append(f"control host {member.host} {member.address} {role}: {state}")
    lines.extend(
        f"entry host {host.host_id} in {host.availability_zone}: "
        f"{host.state}, revision {host.revision}"
        for host in current.hosts
    )
    return lines
