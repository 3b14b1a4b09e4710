"""Steps about settings that change while a process runs."""

import types
from unittest import mock

import behave

from greengagehaven import exceptions
from greengagehaven.daemons import exposition, reloading


class Process:
    """A daemon, and a file that holds its settings or a mistake."""

    def __init__(self, address):
        self.has_refused_settings = False
        self.seeds = (address,)
        self.mistake = None
        self.addresses = (address,)
        self.reloader = reloading.Reloader(
            daemon=self, load=self.load, settings=self.load()
        )

    def load(self):
        if self.mistake is not None:
            raise exceptions.SettingError(
                place="seeds", value=self.mistake, expected="addresses"
            )
        return types.SimpleNamespace(control_addresses=self.addresses)

    def set_seeds(self, addresses):
        self.seeds = tuple(addresses)


@behave.given("a process with the control hosts {address}")
def given_process(context, address):
    context.process = Process(address)
    patch = mock.patch.object(reloading.log, "warning")
    context.logged = patch.start()
    context.add_cleanup(patch.stop)


@behave.when("its settings name {address} and are read again")
def when_named(context, address):
    context.process.mistake = None
    context.process.addresses = (address,)
    context.process.reloader.reload()


def read_wrong(context, mistake, times):
    context.process.mistake = mistake
    for _ in range(times):
        context.process.reloader.reload()


@behave.when("its settings become wrong and are read {times:d} times")
def when_wrong(context, times):
    read_wrong(context, "nowhere", times)


@behave.when("its settings become wrong in another way and are read {times:d} times")
def when_wrong_otherwise(context, times):
    read_wrong(context, "elsewhere", times)


@behave.then("it begins with {address}")
def then_begins_with(context, address):
    assert context.process.seeds == (address,)


@behave.then("it keeps its control hosts, and logs the mistake once")
def then_keeps(context):
    assert context.process.seeds == ("c-1",)
    context.logged.assert_called_once()


@behave.then("it logged {count:d} mistakes")
def then_logged(context, count):
    assert context.logged.call_count == count


@behave.then("its metrics tell that {which} settings are refused")
def then_metrics(context, which):
    process = context.process
    collector = exposition.SettingsCollector(
        is_refused=lambda: process.has_refused_settings
    )
    registry = exposition.registry_of(collector)
    value = registry.get_sample_value("greengagehaven_settings_refused")
    assert value == (0 if which == "no" else 1)
