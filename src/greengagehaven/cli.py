"""The ``greengagehaven`` command; each command group has its own module."""

import click

from greengagehaven import exceptions
from greengagehaven.commands import (
    control,
    daemons,
    document,
    experiment,
    explain,
    measure,
    replay,
    soak,
    zone,
)


class _Group(click.Group):
    def invoke(self, ctx: click.Context) -> object:
        try:
            return super().invoke(ctx)
        except exceptions.SettingError as error:
            raise click.UsageError(error.detail) from error
        except exceptions.GreengagehavenError as error:
            raise click.ClickException(f"{error.code}: {error.detail}") from error


@click.group(cls=_Group)
@click.version_option(package_name="greengagehaven")
def greengagehaven() -> None:
    """A query tier over many shards."""


greengagehaven.add_command(replay.replay)
for _command in (
    daemons.dev,
    daemons.entry,
    daemons.standin,
    measure.measure,
    soak.soak,
    control.control,
    control.status,
    control.history,
    control.audit,
    control.recover,
    document.check,
    document.diff,
    document.apply,
    document.prove,
    document.promote,
    experiment.experiment,
    explain.explain,
    zone.zone,
):
    greengagehaven.add_command(_command)


def main() -> None:
    """Run the command line.

    Each option can also be set by a variable ``GREENGAGEHAVEN_COMMAND_OPTION``.
    """
    greengagehaven(auto_envvar_prefix="GREENGAGEHAVEN")
