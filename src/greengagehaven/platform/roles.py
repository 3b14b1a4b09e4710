"""Commands that run one role, configured by the platform's settings file."""

import asyncio
import datetime
import random
import sys
import typing
from collections import abc

import click

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven import settings as common_settings
from greengagehaven.coordination.routing import fleet, mechanisms, router, versions
from greengagehaven.coordination.shared_budgets import demand_shares
from greengagehaven.daemons import gateway, gateway_settings, lifecycle, reloading
from greengagehaven.platform import documents, names, settings
from greengagehaven.transport import background_tasks, log_output

EXIT_BAD_SETTINGS = 2
MIN_VOTERS = 3
METRICS_PORT = 9464
DEAD_AFTER_S = 4.0


@click.group()
def main() -> None:
    """Run greengagehaven on the platform."""


@main.command()
@click.option(
    "--without",
    default="",
    envvar="GREENGAGEHAVEN_WITHOUT",
    help="Mechanisms to disable for a trial, separated by commas.",
)
def front(without: str) -> None:
    """Run an entry host."""
    try:
        enabled_mechanisms = mechanisms.all_except(without)
    except exceptions.SettingError as error:
        raise click.UsageError(error.detail) from error
    sys.exit(_run(lambda node: _make_front(node, enabled_mechanisms)))


@main.command()
def control() -> None:
    """Run a control host."""
    sys.exit(_run(_make_control))


class _Daemon(lifecycle.Daemon, reloading.Reloadable, typing.Protocol):
    """A daemon that is started, reloaded and stopped here."""

    async def start(self) -> None:
        """Bind the sockets and start."""


_MakeDaemon = abc.Callable[[settings.NodeSettings], _Daemon]


def _run(make_daemon: _MakeDaemon) -> int:
    output = log_output.LogOutput(
        descriptor=sys.stdout.fileno(), clock=clocks.SystemClock()
    )
    log.configure(sink=output.write)
    try:
        node = settings.load(settings.file_path())
        return asyncio.run(_serve(make_daemon, node))
    except exceptions.GreengagehavenError as error:
        log.error("start_failed", code=error.code, error=error.detail)
        return EXIT_BAD_SETTINGS
    finally:
        output.flush()


async def _serve(make_daemon: _MakeDaemon, node: settings.NodeSettings) -> int:
    daemon = make_daemon(node)
    await daemon.start()
    log.info("started", host=node.node, zone=node.zone, seeds=",".join(node.seeds))
    reloader = reloading.Reloader(
        daemon=daemon, load=lambda: settings.load(settings.file_path()), settings=node
    )
    task = background_tasks.start(reloader.run, task="reload_settings")
    try:
        return await lifecycle.run(daemon)
    finally:
        task.cancel()


def _make_front(
    node: settings.NodeSettings, enabled_mechanisms: mechanisms.Mechanisms
) -> gateway.Gateway:
    options = router.Options(
        zone=node.zone,
        host_id=node.node,
        retry_ratio=node.retry_ratio,
        retry_burst=node.retry_burst,
        retry_window=node.retry_window,
        cold_bound=fleet.ColdRateLimit(factor=node.cold_factor, slack=node.cold_slack),
        exposure_bound=versions.ExposureLimit(
            share=node.canary_share, slack=node.canary_slack
        ),
        usage_caps=_usage_caps(node),
        enabled_mechanisms=enabled_mechanisms,
        revoke_within=node.revoke_s if node.strict_revoke else None,
    )
    return gateway.Gateway(
        settings=gateway_settings.GatewaySettings(
            host_id=node.node,
            zone=node.zone,
            listen=node.listen_address("front"),
            ready_listen=node.listen_address("ready"),
            ready_path=names.READY_PATH,
            control_addresses=node.control_addresses,
            grace=datetime.timedelta(seconds=node.grace_s),
            router=options,
            metrics_listen=common_settings.format_address(node.ip, METRICS_PORT),
            peer_listen=node.peer_address,
        ),
        names=names.HEADERS,
        parse_document=documents.parse,
        clock=clocks.SystemClock(),
        rng=random.Random(),
    )


def _usage_caps(node: settings.NodeSettings) -> demand_shares.CapSettings | None:
    if node.quota_window is None:
        return None
    return demand_shares.CapSettings(
        window=node.quota_window, overage=node.quota_overage, slack=node.quota_slack
    )


def _make_control(node: settings.NodeSettings) -> _Daemon:
    # Imported here since an entry host never uses these modules and would only
    # spend memory on them.
    from greengagehaven.coordination.raft import timing
    from greengagehaven.daemons import control_host, registry_daemon
    from greengagehaven.platform import control_api

    own_address = node.peer_address
    peers = tuple(
        address for address in node.control_addresses if address != own_address
    )
    return registry_daemon.RegistryDaemon(
        settings=control_host.ControlSettings(
            host_id=node.node,
            data_folder=node.data_folder,
            peer_address=own_address,
            peer_addresses=peers,
            bootstrap=node.bootstrap and own_address in node.control_addresses,
            min_voters=min(MIN_VOTERS, len(node.seeds)),
            check_document=documents.parse,
            service_names=documents.service_names,
            raft_timing=timing.Timing(
                dead_after=DEAD_AFTER_S,
                lease_reads=False,
                stamps_replies=node.strict_revoke,
            ),
        ),
        listen=node.listen_address("control"),
        zone=node.zone,
        announce_period=node.heartbeat_ms / 1000,
        usage_window=node.quota_window,
        metrics_listen=common_settings.format_address(node.ip, METRICS_PORT),
        make_handler=lambda orders, registrar: (
            control_api.ControlApi(orders=orders, registrar=registrar).handle
        ),
        clock=clocks.SystemClock(),
        rng=random.Random(),
    )
