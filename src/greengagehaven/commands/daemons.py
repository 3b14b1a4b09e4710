"""Commands ``dev``, ``entry`` and ``standin``, each of which runs a daemon."""

import asyncio
import datetime
import pathlib
import sys

import click

from greengagehaven import log, settings
from greengagehaven.commands import certificates
from greengagehaven.daemons import dev as dev_module
from greengagehaven.daemons import entry as entry_module
from greengagehaven.daemons import lifecycle
from greengagehaven.standin import upstream as standin_module
from greengagehaven.transport import log_output
from greengagehaven.transport import tls as tls_module

_UPSTREAM_CHOICES = ("demo", "none")
_LOG_LEVELS = ("debug", "info", "warning", "error")
_PORT = click.IntRange(0, settings.MAX_PORT)
_FILE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)

log_level_option = click.option(
    "--log-level",
    type=click.Choice(_LOG_LEVELS),
    default="info",
    show_default=True,
    help="Minimum level of log events.",
)


@click.command()
@click.option("--entry-port", type=_PORT, default=8080, show_default=True)
@click.option("--operator-port", type=_PORT, default=7300, show_default=True)
@click.option(
    "--key",
    default=dev_module.DEMO_KEY,
    show_default=True,
    help="API key of the demo subscriber.",
)
@click.option(
    "--upstreams",
    type=click.Choice(_UPSTREAM_CHOICES),
    default="demo",
    show_default=True,
    help="Start stand-in upstreams, or none to run your own.",
)
@click.option(
    "--document", type=_FILE, help="Environment document; default: an example."
)
@click.option(
    "--upstream-count",
    type=click.IntRange(1, 9),
    default=3,
    show_default=True,
    help="Number of stand-in upstreams per service.",
)
@click.option(
    "--hosts-per-zone", type=click.IntRange(1, 9), default=1, show_default=True
)
@log_level_option
def dev(
    entry_port: int,
    operator_port: int,
    key: str,
    upstreams: str,
    document: pathlib.Path | None,
    upstream_count: int,
    hosts_per_zone: int,
    log_level: str,
) -> None:
    """Run a whole environment in one process on loopback.

    It has three availability zones with entry hosts, control hosts and stand-in
    upstreams. Ctrl-C shuts it down gracefully.
    """
    log_output.configure_standard_error(level=log_level)
    dev_settings = dev_module.DevSettings(
        entry_port=entry_port,
        operator_port=operator_port,
        key=key,
        upstream_count=upstream_count if upstreams == "demo" else 0,
        hosts_per_zone=hosts_per_zone,
        document=None if document is None else document.read_bytes(),
    )
    sys.exit(asyncio.run(dev_module.run(dev_settings)))


@click.command()
@click.option("--host-id", required=True, help="Unique id of this host.")
@click.option("--zone", required=True, help="Availability zone of this host.")
@click.option(
    "--listen",
    default="127.0.0.1:8080",
    show_default=True,
    help="IP:PORT for clients, and for upstreams unless --announce-listen is set.",
)
@click.option("--announce-listen", help="IP:PORT for announcements of upstreams only.")
@click.option(
    "--peer-listen",
    default="127.0.0.1:7301",
    show_default=True,
    help="IP:PORT for other hosts.",
)
@click.option(
    "--seed",
    "seeds",
    multiple=True,
    metavar="IP:PORT",
    help="Peer address of another entry host; may be given several times.",
)
@click.option(
    "--control",
    "controls",
    multiple=True,
    metavar="IP:PORT",
    help="Peer address of a control host; may be given several times.",
)
@click.option(
    "--recorder",
    "recorders",
    multiple=True,
    metavar="HOST-ID=IP:PORT",
    help="A control host that stores idempotency keys; give the same set to all "
    "control and entry hosts.",
)
@click.option(
    "--peer-token",
    help="Secret shared by all hosts; required on addresses other than loopback.",
)
@click.option(
    "--document",
    type=_FILE,
    help="Environment document used until a control host provides one.",
)
@click.option("--metrics-token", help="Bearer token required by /metrics.")
@click.option(
    "--record",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="Record a trace to this file, at most 50 MB; keys and queries are hashed.",
)
@click.option(
    "--balancer-wait-ms",
    type=click.IntRange(0, 600_000),
    default=2_000,
    show_default=True,
    help="Delay on shutdown between failing the readiness check and closing the "
    "listener, for load balancers to notice.",
)
@click.option(
    "--drain-ms",
    type=click.IntRange(0, 600_000),
    default=20_000,
    show_default=True,
    help="Maximum wait on shutdown for requests in flight.",
)
@certificates.listener_options
@certificates.peer_options
@click.option(
    "--upstream-ca", type=_FILE, help="PEM CA of upstreams; enables TLS to them."
)
@log_level_option
def entry(
    host_id: str,
    zone: str,
    listen: str,
    announce_listen: str | None,
    peer_listen: str,
    seeds: tuple[str, ...],
    controls: tuple[str, ...],
    recorders: tuple[str, ...],
    peer_token: str | None,
    document: pathlib.Path | None,
    metrics_token: str | None,
    record: pathlib.Path | None,
    balancer_wait_ms: int,
    drain_ms: int,
    tls_certificate: pathlib.Path | None,
    tls_key: pathlib.Path | None,
    tls_client_ca: pathlib.Path | None,
    peer_ca: pathlib.Path | None,
    peer_certificate: pathlib.Path | None,
    peer_key: pathlib.Path | None,
    upstream_ca: pathlib.Path | None,
    log_level: str,
) -> None:
    """Run an entry host."""
    log_output.configure_standard_error(level=log_level)
    settings.check_peer_token(peer_token, (peer_listen, *seeds, *controls))
    entry_settings = entry_module.EntrySettings(
        host_id=host_id,
        zone=zone,
        listen=listen,
        announce_listen=announce_listen,
        peer_listen=peer_listen,
        seeds=seeds,
        control_addresses=controls,
        recorder_addresses_by_id=settings.parse_named_addresses(
            "--recorder", recorders
        ),
        peer_token=peer_token,
        balancer_wait=datetime.timedelta(milliseconds=balancer_wait_ms),
        drain_bound=datetime.timedelta(milliseconds=drain_ms),
        metrics_token=metrics_token,
        record=record,
    )
    host = entry_module.EntryHost(
        entry_settings=entry_settings,
        tls=certificates.load_listener_context(tls_certificate, tls_key, tls_client_ca),
        peer_tls=certificates.load_peer_tls(peer_ca, peer_certificate, peer_key),
        upstream_tls=tls_module.client_context(ca=upstream_ca),
    )
    data = None if document is None else document.read_bytes()
    sys.exit(asyncio.run(_run_entry(host, data)))


async def _run_entry(host: entry_module.EntryHost, document: bytes | None) -> int:
    if document is not None:
        host.apply_document(document)
    await host.start()
    log.info("ready", entry=host.address, announce=host.announce_address)
    return await lifecycle.run(host)


@click.command()
@click.option("--id", "upstream_id", required=True, help="Unique id of this upstream.")
@click.option("--zone", required=True, help="Availability zone of this upstream.")
@click.option(
    "--entry",
    "entries",
    multiple=True,
    required=True,
    metavar="IP:PORT",
    help="Entry host to announce to; may be given several times.",
)
@click.option("--service", "services", multiple=True, required=True)
@click.option("--listen", default="127.0.0.1:0", show_default=True)
@click.option("--slots", type=click.IntRange(1, 1000), default=2, show_default=True)
@click.option(
    "--max-connections", type=click.IntRange(1, 10_000), default=25, show_default=True
)
@click.option(
    "--cold", is_flag=True, help="Start with a low capacity that grows as it warms up."
)
@click.option(
    "--drain-ms", type=click.IntRange(0, 600_000), default=10_000, show_default=True
)
@log_level_option
def standin(
    upstream_id: str,
    zone: str,
    entries: tuple[str, ...],
    services: tuple[str, ...],
    listen: str,
    slots: int,
    max_connections: int,
    cold: bool,
    drain_ms: int,
    log_level: str,
) -> None:
    """Run a stand-in upstream that serves generated rows."""
    log_output.configure_standard_error(level=log_level)
    for address in entries:
        settings.parse_address("--entry", address)
    shards = tuple(dev_module.unsharded_service(service) for service in services)
    options = standin_module.Options(
        id=upstream_id,
        availability_zone=zone,
        shards=shards,
        slots=slots,
        max_connections=max_connections,
        starts_cold=cold,
        drain_bound=drain_ms / 1000,
    )
    upstream = standin_module.StandinUpstream(options=options, entries=entries)
    sys.exit(asyncio.run(_run_standin(upstream, listen)))


async def _run_standin(upstream: standin_module.StandinUpstream, listen: str) -> int:
    address = await upstream.start(*settings.parse_address("--listen", listen))
    log.info("ready", upstream=upstream.options.id, address=address)
    return await lifecycle.run(upstream)
