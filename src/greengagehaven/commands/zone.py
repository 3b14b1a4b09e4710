"""Commands ``zone drain`` and ``zone restore``, and waiting for a revision."""

import click

from greengagehaven import exceptions
from greengagehaven.commands import client
from greengagehaven.protocol import operator


@click.group()
def zone() -> None:
    """Take an availability zone out of service or back into service."""


@zone.command()
@click.argument("name")
@click.option(
    "--force",
    is_flag=True,
    help="Drain it even if it is the last zone or has no known entry host.",
)
@client.wait_options
@client.change_id_option
@client.json_option
@client.options
def drain(
    name: str,
    force: bool,
    wait: bool,
    timeout: float,
    change_id: str,
    as_json: bool,
    controls: tuple[str, ...],
    token: str,
) -> None:
    """Send no new work to a zone; requests in flight are finished."""
    body = operator.ZoneBody(
        change_id=client.new_change_id(change_id), drained=True, force=force
    )
    control = client.from_options(controls, token)
    _change_zone(control, name, body, as_json, timeout if wait else None)


@zone.command()
@click.argument("name")
@client.wait_options
@client.change_id_option
@client.json_option
@client.options
def restore(
    name: str,
    wait: bool,
    timeout: float,
    change_id: str,
    as_json: bool,
    controls: tuple[str, ...],
    token: str,
) -> None:
    """Send work to a drained zone again."""
    body = operator.ZoneBody(change_id=client.new_change_id(change_id), drained=False)
    control = client.from_options(controls, token)
    _change_zone(control, name, body, as_json, timeout if wait else None)


def print_result(result: operator.ChangeBody, as_json: bool) -> None:
    """Print the result of an accepted change."""
    if as_json:
        client.print_json(result)
    else:
        click.echo(f"revision {result.revision}, digest {result.digest}")


def wait_in_force(control: client.ControlClient, revision: int, timeout: float) -> None:
    """Wait until every reporting entry host has this or a newer revision in force.

    :param timeout: maximum wait in seconds.
    :raises NotInForceError: some hosts still lag behind; the detail lists them.
    """

    def find_lagging() -> list[str]:
        status = control.get("/v1/status", operator.Status)
        return [
            f"{host.host_id} ({host.state}, revision {host.revision})"
            for host in status.hosts
            if host.revision < revision
        ]

    if not client.wait_until(lambda: not find_lagging(), timeout):
        raise exceptions.NotInForceError(
            f"revision {revision} is not in force on: {', '.join(find_lagging())}"
        )
    click.echo(f"revision {revision} is in force on every entry host", err=True)


def _change_zone(
    control: client.ControlClient,
    name: str,
    body: operator.ZoneBody,
    as_json: bool,
    timeout: float | None,
) -> None:
    result = control.post(f"/v1/zones/{name}", body, operator.ChangeBody)
    print_result(result, as_json)
    if timeout is not None:
        wait_in_force(control, result.revision, timeout)
