"""Steps for settings that are reloaded while a process runs."""

import asyncio
import datetime
import random
import tempfile
import types
from unittest import mock

import behave

from greengagehaven import clock, exceptions
from greengagehaven.coordination.routing import router
from greengagehaven.daemons import (
    control_host,
    exposition,
    gateway,
    gateway_settings,
    registry_daemon,
    reloading,
)
from greengagehaven.platform import documents, names

OWN_ADDRESS = "127.0.0.1:7300"
SETTLING_S = 0.01
"""Time for tasks that the reload has started to make their first call."""


def make_entry_host(address):
    return gateway.Gateway(
        settings=gateway_settings.GatewaySettings(
            host_id="front-1",
            zone="midt-a",
            listen="127.0.0.1:0",
            ready_listen="127.0.0.1:0",
            control_addresses=(address,),
            grace=datetime.timedelta(seconds=6),
            router=router.Options(zone="midt-a"),
        ),
        names=names.HEADERS,
        parse_document=documents.parse,
        clock=clock.SystemClock(),
        rng=random.Random(1),
    )


def make_control_host(address, folder):
    return registry_daemon.RegistryDaemon(
        settings=control_host.ControlSettings(
            host_id="core-1",
            data_folder=folder,
            peer_address=OWN_ADDRESS,
            peer_addresses=(address,),
        ),
        listen="127.0.0.1:0",
        zone="midt-a",
        announce_period=1.0,
        make_handler=lambda orders, registrar: None,
        clock=clock.SystemClock(),
        rng=random.Random(1),
    )


class Process:
    """A daemon that is not started, its settings file and the calls that it makes."""

    def __init__(self, context, kind, address):
        self.loop = asyncio.new_event_loop()
        self.invalid_value = None
        self.addresses = (address,)
        self.called = set()
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        self.daemon = (
            make_entry_host(address)
            if kind == "an entry host"
            else make_control_host(address, folder.name)
        )
        self.reloader = reloading.Reloader(
            daemon=self.daemon, load=self.load, settings=self.load()
        )
        patch = mock.patch.object(self.daemon._client, "call", self.call)
        patch.start()
        context.add_cleanup(patch.stop)

    async def call(self, address, method, body, *, timeout):
        self.called.add(address)
        raise exceptions.PeerError("not reachable")

    def load(self):
        if self.invalid_value is not None:
            raise exceptions.SettingError(
                place="seeds", value=self.invalid_value, expected="addresses"
            )
        return types.SimpleNamespace(control_addresses=self.addresses)

    def reload(self, times=1):
        async def play():
            for _ in range(times):
                self.reloader.reload()
            await asyncio.sleep(SETTLING_S)

        self.loop.run_until_complete(play())

    def close(self):
        self.loop.run_until_complete(self.daemon.close())
        self.loop.close()


@behave.given("{kind} of the platform with the control host {address}")
def given_process(context, kind, address):
    context.process = Process(context, kind, address)
    context.add_cleanup(context.process.close)
    patch = mock.patch.object(reloading.log, "warning")
    context.logged = patch.start()
    context.add_cleanup(patch.stop)


@behave.when("its settings name {address} and are reloaded")
def when_named(context, address):
    context.process.invalid_value = None
    context.process.addresses = (address,)
    context.process.reload()


def reload_invalid(context, value, times):
    context.process.invalid_value = value
    context.process.reload(times)


@behave.when("its settings become invalid and are reloaded {times:d} times")
def when_invalid(context, times):
    reload_invalid(context, "nowhere", times)


@behave.when(
    "its settings become invalid in another way and are reloaded {times:d} times"
)
def when_invalid_otherwise(context, times):
    reload_invalid(context, "elsewhere", times)


@behave.then("it calls the control host {address}")
def then_calls(context, address):
    assert address in context.process.called, context.process.called


@behave.then("it keeps its control hosts and logs the error once")
def then_keeps(context):
    assert not context.process.called, context.process.called
    errors = [
        call for call in context.logged.mock_calls if "reload_failed" in call.args
    ]
    assert len(errors) == 1, context.logged.mock_calls


@behave.then("it logged {count:d} errors")
def then_logged(context, count):
    errors = [
        call for call in context.logged.mock_calls if "reload_failed" in call.args
    ]
    assert len(errors) == count, context.logged.mock_calls


@behave.then("its metrics report that {which} settings are refused")
def then_metrics(context, which):
    daemon = context.process.daemon
    collector = exposition.SettingsCollector(
        is_refused=lambda: daemon.has_refused_settings
    )
    registry = exposition.make_registry(collector)
    value = registry.get_sample_value("greengagehaven_settings_refused")
    assert value == (0 if which == "no" else 1)
