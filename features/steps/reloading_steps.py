"""Steps for settings that are reloaded while a process runs."""

import types
from unittest import mock

import behave

from greengagehaven import exceptions
from greengagehaven.daemons import exposition, reloading


class Process:
    """A daemon and its settings file, which may be invalid."""

    def __init__(self, address):
        self.has_refused_settings = False
        self.seeds = (address,)
        self.invalid_value = None
        self.addresses = (address,)
        self.reloader = reloading.Reloader(
            daemon=self, load=self.load, settings=self.load()
        )

    def load(self):
        if self.invalid_value is not None:
            raise exceptions.SettingError(
                place="seeds", value=self.invalid_value, expected="addresses"
            )
        return types.SimpleNamespace(control_addresses=self.addresses)

    def set_control_addresses(self, addresses):
        self.seeds = tuple(addresses)


@behave.given("a process with the control hosts {address}")
def given_process(context, address):
    context.process = Process(address)
    patch = mock.patch.object(reloading.log, "warning")
    context.logged = patch.start()
    context.add_cleanup(patch.stop)


@behave.when("its settings name {address} and are reloaded")
def when_named(context, address):
    context.process.invalid_value = None
    context.process.addresses = (address,)
    context.process.reloader.reload()


def reload_invalid(context, value, times):
    context.process.invalid_value = value
    for _ in range(times):
        context.process.reloader.reload()


@behave.when("its settings become invalid and are reloaded {times:d} times")
def when_invalid(context, times):
    reload_invalid(context, "nowhere", times)


@behave.when(
    "its settings become invalid in another way and are reloaded {times:d} times"
)
def when_invalid_otherwise(context, times):
    reload_invalid(context, "elsewhere", times)


@behave.then("it uses the control hosts {address}")
def then_uses(context, address):
    assert context.process.seeds == (address,)


@behave.then("it keeps its control hosts and logs the error once")
def then_keeps(context):
    assert context.process.seeds == ("c-1",)
    context.logged.assert_called_once()


@behave.then("it logged {count:d} errors")
def then_logged(context, count):
    assert context.logged.call_count == count


@behave.then("its metrics report that {which} settings are refused")
def then_metrics(context, which):
    process = context.process
    collector = exposition.SettingsCollector(
        is_refused=lambda: process.has_refused_settings
    )
    registry = exposition.make_registry(collector)
    value = registry.get_sample_value("greengagehaven_settings_refused")
    assert value == (0 if which == "no" else 1)
